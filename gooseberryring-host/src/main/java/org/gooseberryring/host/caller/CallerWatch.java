package org.gooseberryring.host.caller;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.StreamSourceConduit;

/** Detects that a caller closes its connection while it waits for the response. */
final class CallerWatch {
    private final HttpServerExchange exchange;
    private final Runnable onDisconnect;

    private CallerWatch(HttpServerExchange exchange, Runnable onDisconnect) {
        this.exchange = exchange;
        this.onDisconnect = onDisconnect;
    }

    /** Starts watching once the complete request has been read; must run on the I/O thread of the exchange. */
    static void start(HttpServerExchange exchange, Runnable onDisconnect) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getExtraBytes() == null
                && exchange.isRequestComplete()) {
            CallerWatch watch = new CallerWatch(exchange, onDisconnect);
            connection.getChannel().getSourceChannel().setReadListener(c -> watch.onReadable(connection));
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    private void onReadable(HttpServerConnection connection) {
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean retained = false;
        try {
            int count = source.read(pooled.getBuffer());
            if (count > 0) {
                // The caller has already sent its next request; the server reads it after this response.
                source.suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                retained = true;
            } else if (count < 0) {
                source.suspendReads();
                onDisconnect.run();
            }
        } catch (IOException e) {
            source.suspendReads();
            onDisconnect.run();
        } finally {
            if (!retained) {
                pooled.close();
            }
        }
    }
}
