package org.gooseberryring.transport.endpoint;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientExchange;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.xnio.channels.StreamSourceChannel;

/** Copies an answer from the endpoint's connection to a sink, no faster than the sink takes it. */
final class AnswerCopier {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final EndpointAttempt attempt;
    private final EndpointCall call;
    private final ClientExchange exchange;
    private final AnswerSink sink;
    private final StreamSourceChannel source;
    private final PooledByteBuffer pooled;
    private final ByteBuffer buffer;
    private final AnswerTail tail = new AnswerTail();
    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private final int maxRecordedBytes;
    private final long declaredLength;
    private long copied;
    private boolean started;
    private boolean closed;

    AnswerCopier(
            EndpointAttempt attempt,
            EndpointCall call,
            EndpointClient client,
            ClientExchange exchange,
            AnswerSink sink) {
        this.attempt = attempt;
        this.call = call;
        this.exchange = exchange;
        this.sink = sink;
        this.source = exchange.getResponseChannel();
        this.pooled = client.worker().buffers().allocate();
        this.buffer = pooled.getBuffer();
        this.maxRecordedBytes = call.idempotent() ? 0 : client.limits().maxRecordedBytes();
        this.declaredLength = length(headers());
        buffer.limit(0);
    }

    void start() {
        source.getReadSetter().set(c -> {
            c.suspendReads();
            copy();
        });
        copy();
    }

    /** Returns whether the sink was opened, so that bytes may have reached the caller. */
    boolean started() {
        return started;
    }

    long usedTokens() {
        return tail.usedTokens();
    }

    void close() {
        if (!closed) {
            closed = true;
            pooled.close();
        }
    }

    private void copy() {
        while (!closed) {
            if (!drain()) {
                return;
            }
            int count = fill();
            if (count == 0) {
                waitForBytes();
                return;
            }
            if (count < 0) {
                return;
            }
        }
    }

    /** Writes the buffered bytes; returns false if the sink takes no more now or has gone. */
    private boolean drain() {
        try {
            while (buffer.hasRemaining()) {
                open();
                if (sink.write(buffer) == 0) {
                    sink.whenWritable(() -> {
                        attempt.active();
                        copy();
                    });
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            attempt.receiverGone();
            return false;
        }
    }

    /** Reads the next bytes; returns -1 after the answer has ended. */
    private int fill() {
        try {
            buffer.clear();
            int count = source.read(buffer);
            buffer.flip();
            if (count > 0) {
                attempt.active();
                copied += count;
                tail.add(buffer);
                record();
            } else if (count < 0) {
                finish();
            }
            return count;
        } catch (IOException e) {
            attempt.broken();
            return -1;
        }
    }

    private void waitForBytes() {
        try {
            if (started) {
                sink.flush();
            }
            source.resumeReads();
        } catch (IOException e) {
            attempt.receiverGone();
        }
    }

    private void finish() {
        if (!complete()) {
            attempt.broken();
            return;
        }
        open();
        boolean reusable = !"close".equalsIgnoreCase(headers().getFirst(Headers.CONNECTION));
        byte[] answer = copied <= maxRecordedBytes ? recorded.toByteArray() : null;
        // The outcome is reported before the answer ends, so that it is known when the exchange is over.
        attempt.complete(reusable, answer);
        sink.finish();
    }

    private boolean complete() {
        int status = exchange.getResponse().getResponseCode();
        if ("HEAD".equals(call.method()) || status == NO_CONTENT || status == NOT_MODIFIED) {
            return true;
        }
        String type = headers().getFirst(Headers.CONTENT_TYPE);
        boolean events = type != null && type.startsWith(EVENT_STREAM);
        if (events && call.kind().isModel()) {
            return tail.endsWithFinalEvent();
        }
        // Without a length or chunks, a closed connection cannot be told from a complete answer.
        return declaredLength >= 0 ? copied == declaredLength : headers().contains(Headers.TRANSFER_ENCODING);
    }

    private void open() {
        if (!started) {
            started = true;
            attempt.opened();
            sink.start(exchange.getResponse().getResponseCode(), headers(), declaredLength);
        }
    }

    private void record() {
        if (copied <= maxRecordedBytes) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.duplicate().get(bytes);
            recorded.writeBytes(bytes);
        }
    }

    private HeaderMap headers() {
        return exchange.getResponse().getResponseHeaders();
    }

    private static long length(HeaderMap headers) {
        String value = headers.getFirst(Headers.CONTENT_LENGTH);
        return value == null ? -1 : Long.parseLong(value);
    }
}
