package org.gooseberryring.host;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

import org.gooseberryring.standins.EngineStandIn;

/** Model engine that answers completions with bytes given by the test, and everything else as the engine behind it. */
public final class RawEngine implements AutoCloseable {
    private final EngineStandIn engine;
    private final ServerSocket socket;
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Integer> connections = new CopyOnWriteArrayList<>();
    private volatile List<String> answers = List.of();
    private volatile boolean keepsOpen;

    /** Starts listening on a free port. */
    public RawEngine(EngineStandIn engine) {
        this.engine = engine;
        try {
            socket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startDaemon(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Sets the answers to the next completions in order, the last one also to those after it; {@code ID} is the request's. */
    public void answer(boolean keepOpen, String... bytes) {
        connections.clear();
        keepsOpen = keepOpen;
        answers = List.of(bytes);
    }

    /** Returns the remote port of each completion since the answers were set, which identifies its connection. */
    public List<Integer> connections() {
        return connections;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                startDaemon(() -> serve(connection));
            } catch (IOException e) {
                // The engine was closed.
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            boolean open = true;
            while (open) {
                open = respond(connection, in);
            }
        } catch (IOException e) {
            // The host closed the connection.
        }
    }

    private boolean respond(Socket connection, InputStream in) throws IOException {
        String line = line(in);
        if (line.isEmpty()) {
            return false;
        }
        String id = "";
        int length = 0;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            String value = header.substring(header.indexOf(':') + 1).strip();
            String name = header.toLowerCase(Locale.ROOT);
            id = name.startsWith("x-request-id:") ? value : id;
            length = name.startsWith("content-length:") ? Integer.parseInt(value) : length;
        }
        byte[] body = in.readNBytes(length);
        OutputStream out = connection.getOutputStream();
        if (!line.contains("completions")) {
            out.write(forward(line.split(" "), body).getBytes(StandardCharsets.UTF_8));
            return true;
        }
        connections.add(connection.getPort());
        String answer = answers.get(Math.min(connections.size(), answers.size()) - 1);
        out.write(answer.replace(": ID", ": " + id).getBytes(StandardCharsets.ISO_8859_1));
        return keepsOpen;
    }

    private String forward(String[] words, byte[] body) throws IOException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + engine.address() + words[1]))
                .method(words[0], HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return "HTTP/1.1 " + response.statusCode() + " OK\r\nContent-Length: "
                    + response.body().length() + "\r\n\r\n" + response.body();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            text.append((char) b);
        }
        return text.toString().strip();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "raw-engine");
        thread.setDaemon(true);
        thread.start();
    }
}
