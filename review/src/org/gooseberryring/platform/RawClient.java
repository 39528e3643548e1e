package org.gooseberryring.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Client that writes the bytes of a request itself and reads one answer with a length. */
final class RawClient implements AutoCloseable {
    private final Socket socket;

    RawClient(ReviewHost host, int timeoutMillis) throws IOException {
        socket = new Socket(host.ip(), host.frontPort());
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
    }

    /** Sets how long a read waits for bytes. */
    void setTimeout(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads an answer and returns its status, 0 if the channel ended before the complete answer. */
    int readStatus() throws IOException {
        InputStream in = socket.getInputStream();
        String head = head(in);
        if (head.isEmpty()) {
            return 0;
        }
        int status = Integer.parseInt(head.split(" ")[1]);
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return in.readNBytes(length).length == length ? status : 0;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        String end = "";
        while (!end.equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return "";
            }
            head.write(b);
            end = (end + (char) b).substring(Math.max(0, end.length() - 3));
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }
}
