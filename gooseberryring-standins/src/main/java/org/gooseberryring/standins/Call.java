package org.gooseberryring.standins;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.function.Consumer;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import org.gooseberryring.protocol.Json;
import org.xnio.IoUtils;

/** Received HTTP request whose response can be delayed, cut off or omitted. */
final class Call {
    private static final String JSON = "application/json";
    private static final long CHUNKED = -1;
    private static final AttachmentKey<Runnable> ON_CLOSE = AttachmentKey.create(Runnable.class);

    private final HttpServerExchange exchange;
    private final byte[] body;

    private Call(HttpServerExchange exchange, byte[] body) {
        this.exchange = exchange;
        this.body = body;
    }

    /** Returns a handler that reads the complete body and passes the call to a consumer, which must not block. */
    static HttpHandler handler(Consumer<Call> consumer) {
        return exchange -> exchange.getRequestReceiver()
                .receiveFullBytes((received, bytes) -> received.dispatch(
                        SameThreadExecutor.INSTANCE, () -> consumer.accept(new Call(received, bytes))));
    }

    String method() {
        return exchange.getRequestMethod().toString();
    }

    String path() {
        return exchange.getRequestPath();
    }

    /** Returns path and query as the sender has written them. */
    String target() {
        String query = exchange.getQueryString();
        return exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    }

    byte[] body() {
        return body;
    }

    String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    String header(String name) {
        return exchange.getRequestHeaders().getFirst(name);
    }

    Iterable<HeaderValues> headers() {
        return exchange.getRequestHeaders();
    }

    String queryParameter(String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }

    boolean isOpen() {
        return exchange.getConnection().isOpen();
    }

    /** Sets the task to run when the connection closes. Replaces the task of an earlier call on the connection. */
    void onClose(Runnable task) {
        ServerConnection connection = exchange.getConnection();
        // Close listeners cannot be removed, so a keep-alive connection gets a single one, which looks up the task.
        if (connection.putAttachment(ON_CLOSE, task) == null) {
            connection.addCloseListener(closed -> closed.getAttachment(ON_CLOSE).run());
        }
    }

    Call setResponseHeader(String name, String value) {
        exchange.getResponseHeaders().put(new HttpString(name), value);
        return this;
    }

    void respondWithJson(int status, Object value) {
        respond(status, JSON, Json.write(value));
    }

    void respondWithStatus(int status) {
        respond(status, JSON, new byte[0]);
    }

    void respond(int status, String type, byte[] bytes) {
        beginResponse(status, type, bytes.length);
        write(bytes, this::endResponse);
    }

    void beginChunkedResponse(int status, String type) {
        beginResponse(status, type, CHUNKED);
    }

    /** Sets the status, the content type and the declared length, which may exceed the number of bytes written later. */
    void beginResponse(int status, String type, long length) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        if (length != CHUNKED) {
            exchange.setResponseContentLength(length);
        }
    }

    /** Writes bytes and then runs a task on the I/O thread of the connection. */
    void write(byte[] bytes, Runnable continuation) {
        onIoThread(() -> {
            if (bytes.length == 0 || !isOpen()) {
                continuation.run();
                return;
            }
            exchange.getResponseSender().send(ByteBuffer.wrap(bytes), new WriteCallback(continuation));
        });
    }

    void endResponse() {
        onIoThread(exchange::endExchange);
    }

    /** Closes the connection without a response or in the middle of it. */
    void closeConnection() {
        IoUtils.safeClose(exchange.getConnection());
    }

    void runAfter(long millis, Runnable task) {
        if (millis <= 0) {
            onIoThread(task);
        } else {
            StandInServer.runAfter(millis, () -> onIoThread(task));
        }
    }

    private void onIoThread(Runnable task) {
        if (Thread.currentThread() == exchange.getIoThread()) {
            task.run();
        } else {
            exchange.getIoThread().execute(task);
        }
    }

    /** Runs a task after a write and closes the connection if the write fails. */
    private record WriteCallback(Runnable task) implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {
            task.run();
        }

        @Override
        public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
