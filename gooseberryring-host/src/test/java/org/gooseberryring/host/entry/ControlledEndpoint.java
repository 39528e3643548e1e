package org.gooseberryring.host.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Endpoint that takes a request and responds when, and as far as, the test says. */
final class ControlledEndpoint implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 5_000;

    private final ServerSocket socket;

    ControlledEndpoint() {
        try {
            socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
            socket.setSoTimeout(TIMEOUT_MILLIS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Waits for the next request, which must come on a connection of its own. */
    Run awaitRequest() throws IOException {
        Socket connection = socket.accept();
        connection.setSoTimeout(TIMEOUT_MILLIS);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
            line = in.readLine();
        }
        return new Run(connection, in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /**
     * Request that the endpoint runs.
     *
     * @param connection connection of the request
     * @param in what the host sends after the request
     */
    record Run(Socket connection, BufferedReader in) {
        void send(String text) throws IOException {
            connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Waits until the host closes the connection. */
        void awaitClose() throws IOException {
            int b = in.read();
            while (b >= 0) {
                b = in.read();
            }
        }

        void close() throws IOException {
            connection.close();
        }
    }
}
