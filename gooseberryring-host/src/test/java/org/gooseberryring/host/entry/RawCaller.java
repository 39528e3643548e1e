package org.gooseberryring.host.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Caller that sends requests on one connection and reads the bytes of the responses. */
final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 5_000;

    private final Socket socket;
    private final InputStream in;

    RawCaller(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        in = socket.getInputStream();
    }

    void get(String path) throws IOException {
        String head = "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns what arrives up to and including the text, or up to the end of the connection. */
    String readTo(String text) throws IOException {
        StringBuilder received = new StringBuilder();
        int b = in.read();
        while (b >= 0) {
            received.append((char) b);
            if (received.indexOf(text, received.length() - text.length()) >= 0) {
                return received.toString();
            }
            b = in.read();
        }
        return received + "<end>";
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
