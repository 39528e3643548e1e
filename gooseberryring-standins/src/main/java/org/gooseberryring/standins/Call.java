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

/** Received HTTP request whose answer may be delayed, cut short or left out. */
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

    /** Returns a handler that reads the whole body and passes the call on; the consumer must not block. */
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

    String query(String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }

    boolean open() {
        return exchange.getConnection().isOpen();
    }

    /** Runs a task if the connection closes before the next call on it; replaces an earlier task. */
    void onClose(Runnable task) {
        ServerConnection connection = exchange.getConnection();
        // Close listeners cannot be removed, so a kept-alive connection gets one that looks the task up.
        if (connection.putAttachment(ON_CLOSE, task) == null) {
            connection.addCloseListener(closed -> closed.getAttachment(ON_CLOSE).run());
        }
    }

    Call respondWith(String name, String value) {
        exchange.getResponseHeaders().put(new HttpString(name), value);
        return this;
    }

    void json(int status, Object value) {
        answer(status, JSON, Json.write(value));
    }

    void status(int status) {
        answer(status, JSON, new byte[0]);
    }

    void answer(int status, String type, byte[] bytes) {
        begin(status, type, bytes.length);
        write(bytes, this::end);
    }

    void beginChunked(int status, String type) {
        begin(status, type, CHUNKED);
    }

    /** Sets status, content type and declared length, which may exceed what is written later. */
    void begin(int status, String type, long length) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        if (length != CHUNKED) {
            exchange.setResponseContentLength(length);
        }
    }

    /** Writes bytes and then runs a task on the connection's thread. */
    void write(byte[] bytes, Runnable then) {
        onIoThread(() -> {
            if (bytes.length == 0 || !open()) {
                then.run();
                return;
            }
            exchange.getResponseSender().send(ByteBuffer.wrap(bytes), new Then(then));
        });
    }

    void end() {
        onIoThread(exchange::endExchange);
    }

    /** Closes the connection without an answer, or in the middle of it. */
    void drop() {
        IoUtils.safeClose(exchange.getConnection());
    }

    void after(long millis, Runnable task) {
        if (millis <= 0) {
            onIoThread(task);
        } else {
            StandInServer.after(millis, () -> onIoThread(task));
        }
    }

    private void onIoThread(Runnable task) {
        if (Thread.currentThread() == exchange.getIoThread()) {
            task.run();
        } else {
            exchange.getIoThread().execute(task);
        }
    }

    /** Continues after a write and closes the connection when the write fails. */
    private record Then(Runnable task) implements IoCallback {
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
