package org.gooseberryring.host.caller;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import org.xnio.conduits.StreamSourceConduit;

/** Detects that a caller closes its connection while it waits for the response; used on the I/O thread of its exchange. */
final class CallerWatch {
    private static final AttachmentKey<CallerWatch> KEY = AttachmentKey.create(CallerWatch.class);

    private final HttpServerConnection connection;
    private final Runnable onDisconnect;
    private boolean watching = true;
    private boolean gone;

    private CallerWatch(HttpServerConnection connection, Runnable onDisconnect) {
        this.connection = connection;
        this.onDisconnect = onDisconnect;
    }

    /** Starts watching once the complete request has been read; must run on the I/O thread of the exchange. */
    static void start(HttpServerExchange exchange, Runnable onDisconnect) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null
                && exchange.isRequestComplete()) {
            CallerWatch watch = new CallerWatch(connection, onDisconnect);
            connection.putAttachment(KEY, watch);
            exchange.addExchangeCompleteListener((done, next) -> {
                watch.watching = false;
                // A connection that is kept would hold the request and its body.
                connection.removeAttachment(KEY);
                next.proceed();
            });
            connection.getChannel().getSourceChannel().setReadListener(c -> watch.read());
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    /**
     * Reads the socket of a caller, which may hold a close that the I/O thread has not got to yet, and returns whether the
     * caller has left. A caller that has already sent its next request counts as present.
     *
     * @param connection connection of a request that has not ended
     */
    static boolean hasLeft(ServerConnection connection) {
        CallerWatch watch = connection.getAttachment(KEY);
        if (watch == null) {
            return false;
        }
        if (watch.watching) {
            watch.read();
        }
        return watch.gone;
    }

    private void read() {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean retained = false;
        try {
            int count = source.read(pooled.getBuffer());
            if (count > 0) {
                // The caller has already sent its next request; the server reads it after this response.
                suspend(source);
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                retained = true;
            } else if (count < 0) {
                leave(source);
            }
        } catch (IOException e) {
            leave(source);
        } finally {
            if (!retained) {
                pooled.close();
            }
        }
    }

    private void suspend(StreamSourceConduit source) {
        watching = false;
        source.suspendReads();
    }

    private void leave(StreamSourceConduit source) {
        suspend(source);
        gone = true;
        onDisconnect.run();
    }
}
