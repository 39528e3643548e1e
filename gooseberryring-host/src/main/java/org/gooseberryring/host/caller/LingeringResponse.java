package org.gooseberryring.host.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Sends a complete response to a request whose body may be unread.
 *
 * <p>The system resets a connection that is closed with unread bytes, and the reset overtakes the response or fails the
 * caller that still writes its body. So the connection is closed for writing only, and what arrives is discarded until the
 * caller closes it too, for a bounded time and a bounded number of bytes. A response of a blocking handler, which runs on
 * another thread than the I/O thread of the exchange, is sent without this.
 */
public final class LingeringResponse {
    /** Time for the rest of a body; 8 MB take 7 s at 10 Mbit/s. */
    private static final long MAX_MILLIS = 10_000;

    private static final long MAX_BYTES = 16L * 1024 * 1024;

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private XnioExecutor.Key timer;
    private long discarded;

    private LingeringResponse(HttpServerExchange exchange, HttpServerConnection connection) {
        this.exchange = exchange;
        this.connection = connection;
    }

    /**
     * Sends a response and ends the exchange. The connection is not reused if the body is unread, since its rest cannot be
     * told from another request.
     */
    public static void send(HttpServerExchange exchange, ByteBuffer body) {
        if (exchange.isRequestComplete()) {
            exchange.getResponseSender().send(body);
            return;
        }
        exchange.setPersistent(false);
        if (!exchange.isInIoThread() || !(exchange.getConnection() instanceof HttpServerConnection connection)) {
            exchange.getResponseSender().send(body);
            return;
        }
        LingeringResponse response = new LingeringResponse(exchange, connection);
        // A handler that returns without a dispatch ends the exchange, and with it the connection.
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> response.write(body));
    }

    private void write(ByteBuffer body) {
        // The length tells a whole response from one that a reset has cut.
        exchange.setResponseContentLength(body.remaining());
        IoCallback end = then(sender -> sender.close(then(closed -> linger())));
        exchange.getResponseSender().send(body, end);
    }

    private IoCallback then(Consumer<Sender> next) {
        return new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange ended, Sender sender) {
                next.accept(sender);
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException exception) {
                close();
            }
        };
    }

    private void linger() {
        try {
            connection.getOriginalSinkConduit().terminateWrites();
        } catch (IOException e) {
            close();
            return;
        }
        try {
            timer = exchange.getIoThread().executeAfter(this::close, MAX_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The host is closed.
            close();
            return;
        }
        connection.getChannel().getSourceChannel().setReadListener(readable -> discard());
        connection.getOriginalSourceConduit().resumeReads();
    }

    /** Discards one buffer, so that a fast caller does not occupy the I/O thread. */
    private void discard() {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            int count = source.read(pooled.getBuffer());
            discarded += Math.max(0, count);
            if (count < 0 || discarded > MAX_BYTES) {
                close();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void close() {
        if (timer != null) {
            timer.remove();
        }
        IoUtils.safeClose(connection);
        exchange.endExchange();
    }
}
