package org.gooseberryring.host.caller;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.StreamSourceConduit;

/** Notices that a caller closes its connection while it waits for its answer. */
final class CallerWatch {
    private final HttpServerExchange exchange;
    private final Runnable gone;

    private CallerWatch(HttpServerExchange exchange, Runnable gone) {
        this.exchange = exchange;
        this.gone = gone;
    }

    /** Starts to watch after the whole request was read; must run on the I/O thread of the exchange. */
    static void start(HttpServerExchange exchange, Runnable gone) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null
                && exchange.isRequestComplete()) {
            CallerWatch watch = new CallerWatch(exchange, gone);
            connection.getChannel().getSourceChannel().setReadListener(c -> watch.readable(connection));
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    private void readable(HttpServerConnection connection) {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            int count = source.read(pooled.getBuffer());
            if (count > 0) {
                // The caller sends its next request already; the server reads it after this answer.
                source.suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                kept = true;
            } else if (count < 0) {
                source.suspendReads();
                gone.run();
            }
        } catch (IOException e) {
            source.suspendReads();
            gone.run();
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }
}
