package org.gooseberryring.host.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.io.Receiver;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.gooseberryring.transport.http.IoTimeout;
import org.gooseberryring.transport.http.SharedRoom;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Receives the body of a request into memory that is taken from the room for bodies, until the exchange ends.
 *
 * <p>The size that a request declares is taken before its body is read, so that a request that finds no room is rejected
 * at once. Used on the I/O thread of the exchange only.
 */
public final class BodyReceiver {
    /**
     * Size in bytes up to which a body does not count, so that large ones do not affect ordinary requests: 16 MB of 1,000
     * open requests.
     */
    public static final int UNCOUNTED_BYTES = 16_384;

    /** Size in bytes of the first buffer for a body of unknown size. */
    private static final int FIRST_BYTES = 1_024;

    private final HttpServerExchange exchange;
    private final SharedRoom room;
    private final String owner;
    private final int maxBytes;
    private final long timeoutMillis;
    private final Outcome outcome;
    private XnioExecutor.Key timer;
    private byte[] body = {};
    private int received;
    private long heldBytes;
    private boolean ended;

    /** Receives the outcome, of which there is exactly one unless the exchange ends before. */
    public interface Outcome {
        /** The complete body has arrived. */
        void onBody(byte[] body);

        /** The body is not received, because it is larger than allowed or its connection has failed. */
        void onFailure(IOException failure);

        /** The body has not arrived in time. */
        void onTimeout();

        /** The body is not received, because there is no room for it. */
        void onNoRoom();
    }

    /**
     * Creates a receiver.
     *
     * @param room room for the bodies of all requests
     * @param owner organisation to which the body belongs
     * @param maxBytes maximum size of the body
     * @param timeoutMillis time for the body
     */
    public BodyReceiver(
            HttpServerExchange exchange,
            SharedRoom room,
            String owner,
            int maxBytes,
            long timeoutMillis,
            Outcome outcome) {
        this.exchange = exchange;
        this.room = room;
        this.owner = owner;
        this.maxBytes = maxBytes;
        this.timeoutMillis = timeoutMillis;
        this.outcome = outcome;
    }

    /** Starts to receive; called once, in the handler of the exchange. */
    public void start() {
        timer = IoTimeout.schedule(exchange.getIoThread(), timeoutMillis, this::stop);
        exchange.addExchangeCompleteListener((done, next) -> {
            timer.remove();
            release();
            next.proceed();
        });
        if (exchange.isRequestComplete()) {
            complete();
            return;
        }
        String declared = exchange.getRequestHeaders().getFirst(Headers.CONTENT_LENGTH);
        long declaredBytes = declared == null ? FIRST_BYTES : Long.parseLong(declared);
        if (declared != null && declaredBytes > maxBytes) {
            fail(new Receiver.RequestToLargeException());
        } else if (!enlarge((int) declaredBytes)) {
            rejectWithoutRoom();
        } else {
            receive(exchange.getRequestChannel());
        }
    }

    private void receive(StreamSourceChannel channel) {
        channel.getReadSetter().set(readable -> {
            Runnable end = read(readable);
            if (end != null) {
                readable.suspendReads();
                Connectors.executeRootHandler(e -> end.run(), exchange);
            }
        });
        Runnable end = read(channel);
        if (end == null) {
            channel.resumeReads();
        } else {
            end.run();
        }
    }

    /** Reads what is available; returns what to do at the end of the body, null if there is more to come. */
    private Runnable read(StreamSourceChannel channel) {
        if (ended) {
            return null;
        }
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count = channel.read(buffer.clear());
            while (count > 0) {
                Runnable rejection = add(buffer.flip());
                if (rejection != null) {
                    return end(rejection);
                }
                count = channel.read(buffer.clear());
            }
            return count == 0 ? null : end(this::complete);
        } catch (IOException e) {
            return end(() -> fail(e));
        }
    }

    /** Adds bytes of the body; returns the rejection of the request if there are too many. */
    private Runnable add(ByteBuffer bytes) {
        int needed = received + bytes.remaining();
        if (needed > maxBytes) {
            return () -> fail(new Receiver.RequestToLargeException());
        }
        if (needed > body.length && !enlarge(Math.min(maxBytes, Math.max(needed, 2 * body.length)))) {
            return this::rejectWithoutRoom;
        }
        int count = bytes.remaining();
        bytes.get(body, received, count);
        received += count;
        return null;
    }

    private void stop() {
        body = null;
        release();
        outcome.onTimeout();
    }

    private void fail(IOException failure) {
        timer.remove();
        body = null;
        release();
        outcome.onFailure(failure);
    }

    private void complete() {
        timer.remove();
        byte[] whole = received == body.length ? body : Arrays.copyOf(body, received);
        resize(counted(whole.length));
        body = null;
        outcome.onBody(whole);
    }

    private void rejectWithoutRoom() {
        timer.remove();
        outcome.onNoRoom();
    }

    private Runnable end(Runnable last) {
        ended = true;
        return last;
    }

    private boolean enlarge(int bytes) {
        if (!resize(counted(bytes))) {
            body = null;
            release();
            return false;
        }
        body = Arrays.copyOf(body, bytes);
        return true;
    }

    private boolean resize(long bytes) {
        if (!room.resize(owner, heldBytes, bytes)) {
            return false;
        }
        heldBytes = bytes;
        return true;
    }

    private void release() {
        ended = true;
        resize(0);
    }

    private static long counted(int bytes) {
        return Math.max(0, bytes - UNCOUNTED_BYTES);
    }
}
