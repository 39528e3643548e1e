package org.gooseberryring.transport.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests calls whose responses are malformed or incomplete, such as those of the store and of orders. */
class HttpCallerTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long SHORT_MILLIS = 200;

    /** Size in bytes of a body that exceeds the buffers between the two ends of a connection. */
    private static final int LONG_BODY_BYTES = 8_000_000;

    private HttpWorker worker;
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        worker = HttpWorker.start("caller-test", 1, 1);
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        worker.close();
    }

    /** Guards against a response that is none and counts as one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nX Other: a\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nX-Other: a\r\n Content-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
            })
    void malformedResponseFailsTheCall(String response) {
        assertThrows(HttpCallException.class, () -> call(response, new byte[0], false));
    }

    /** Guards against a part of a response that counts as all of it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            })
    void partOfAResponseFailsTheCall(String response) {
        assertThrows(HttpCallException.class, () -> call(response, new byte[0], false));
    }

    /** Guards against a response that ends with its connection, which was closed before the request was read. */
    @Test
    void responseWithoutLengthToAnUnreadRequestFailsTheCall() {
        assertThrows(HttpCallException.class, () -> call("HTTP/1.1 200 OK\r\n\r\n{}", new byte[LONG_BODY_BYTES], true));
    }

    /** Guards against sound responses that fail. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n{}",
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
            })
    void soundResponseEndsTheCall(String response) throws Exception {
        HttpResult result = call(response, new byte[1], false);
        assertThat(result.status()).isEqualTo(200);
        assertThat(new String(result.body(), StandardCharsets.ISO_8859_1)).isEqualTo("{}");
    }

    /** Guards against calls that fail since the thread of their connection runs late, although the server responds. */
    @Test
    void callDoesNotFailWhenItsThreadIsLate() throws Exception {
        CompletableFuture<Void> served =
                CompletableFuture.runAsync(() -> serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 0));
        URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
        worker.xnio()
                .getIoThread()
                .execute(() -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(3 * SHORT_MILLIS)));

        HttpResult result = new HttpCaller(worker)
                .callAsync("GET", uri, Map.of(), new byte[0], SHORT_MILLIS)
                .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

        assertThat(result.status()).isEqualTo(200);
        served.join();
    }

    /** Makes a call and responds to it, before its body was read if {@code early}, then closes the connection. */
    private HttpResult call(String response, byte[] body, boolean early) throws IOException {
        CompletableFuture<Void> served = CompletableFuture.runAsync(() -> serve(response, early ? 0 : body.length));
        URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort() + "/");
        try {
            return new HttpCaller(worker).call("POST", uri, Map.of(), body, TIMEOUT_MILLIS);
        } finally {
            served.join();
        }
    }

    private void serve(String response, int bodyBytes) {
        try (Socket connection = server.accept()) {
            InputStream in = connection.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            in.readNBytes(bodyBytes);
            connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            connection.shutdownOutput();
            // The caller reads the end of the response before the reset that a close with unread bytes causes.
            CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(20, TimeUnit.MILLISECONDS))
                    .join();
        } catch (IOException e) {
            // The caller closed the connection first.
        }
    }
}
