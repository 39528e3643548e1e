package org.gooseberryring.transport.endpoint;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientExchange;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.gooseberryring.transport.http.ReadAllowance;
import org.xnio.channels.StreamSourceChannel;

/** Copies an answer from the endpoint's connection to a sink, no faster than the sink takes it. */
final class ResponseCopier {
    /** Bytes copied before other connections of the I/O thread have their turn. */
    private static final long MAX_TURN_BYTES = 262_144;

    /** Longest event in bytes, to tell a stream from bytes without end; an event holds the text of some tokens. */
    private static final long MAX_EVENT_BYTES = 1_000_000;

    private final EndpointAttempt attempt;
    private final EndpointCall call;
    private final ClientExchange exchange;
    private final ResponseSink sink;
    private final StreamSourceChannel source;
    private final PooledByteBuffer pooled;
    private final ByteBuffer buffer;
    private final EndpointProtocol protocol;
    private final EventCursor events;
    private final ResponseTail tail = new ResponseTail();
    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private final int maxRecordedBytes;
    private final long declaredLength;
    private final long maxBytes;
    private final EventMeter meter;
    private final ReadAllowance allowance;
    private ByteBuffer pending;
    private long copied;
    private boolean started;
    private boolean closed;

    ResponseCopier(
            EndpointAttempt attempt,
            EndpointCall call,
            EndpointClient client,
            ClientExchange exchange,
            ResponseSink sink,
            ReadAllowance allowance) {
        this.attempt = attempt;
        this.call = call;
        this.exchange = exchange;
        this.sink = sink;
        this.source = exchange.getResponseChannel();
        this.pooled = client.worker().buffers().allocate();
        this.buffer = pooled.getBuffer();
        this.protocol = client.protocol();
        this.events = protocol.carriesEvents(headers()) ? call.events() : null;
        this.maxRecordedBytes = call.idempotent() ? 0 : client.limits().maxRecordedBytes();
        this.declaredLength = length(headers());
        this.maxBytes = declaredLength >= 0 ? declaredLength : call.maxResponseBytes();
        this.meter = events == null && protocol.carriesEvents(headers()) ? new EventMeter() : null;
        this.allowance = allowance;
        allowance.allow(ReadAllowance.FRAMING_BYTES);
        buffer.limit(0);
        this.pending = buffer;
        if (events != null) {
            events.restart();
        }
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
        long turnEnd = copied + MAX_TURN_BYTES;
        while (!closed) {
            if (!drain()) {
                return;
            }
            if (copied >= turnEnd) {
                attempt.later(this::copy);
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
            while (pending.hasRemaining()) {
                open();
                if (sink.write(pending) == 0) {
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
                allowance.allow(ReadAllowance.FRAMING_BYTES);
                tail.add(buffer);
                record();
                if (meter != null) {
                    meter.add(buffer);
                }
                pending = events == null ? buffer : events.take(buffer);
                if (isEndless()) {
                    return -1;
                }
            } else if (count < 0) {
                finish();
            }
            return count;
        } catch (IOException e) {
            attempt.broken();
            return -1;
        }
    }

    /** Returns whether the answer is longer than it can be, after which the attempt has ended. */
    private boolean isEndless() {
        if (copied > maxBytes) {
            attempt.endless("body");
            return true;
        }
        if (pendingEventBytes() > MAX_EVENT_BYTES) {
            attempt.endless("event");
            return true;
        }
        return false;
    }

    /** Returns the bytes of the event that has begun and not ended, 0 if the answer is no stream of events. */
    private long pendingEventBytes() {
        if (events != null) {
            return events.pendingBytes();
        }
        return meter == null ? 0 : meter.pendingBytes();
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
        ResponseEnd end = new ResponseEnd(
                copied,
                declaredLength,
                headers().contains(Headers.TRANSFER_ENCODING),
                tail.endsWithFinalEvent(),
                events != null && events.inEvent());
        return protocol.isComplete(call, exchange.getResponse().getResponseCode(), headers(), end);
    }

    private void open() {
        if (!started) {
            started = true;
            attempt.opened();
            sink.start(exchange.getResponse().getResponseCode(), headers(), events == null ? declaredLength : -1);
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
