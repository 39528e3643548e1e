package org.gooseberryring.transport.endpoint;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientExchange;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.gooseberryring.transport.http.ReadAllowance;
import org.gooseberryring.transport.http.ResponseFraming;
import org.xnio.channels.StreamSourceChannel;

/** Copies a response from the endpoint's connection to a sink, no faster than the sink accepts it. */
final class ResponseCopier {
    /** Maximum number of bytes copied before the I/O thread serves its other connections. */
    private static final long MAX_TURN_BYTES = 262_144;

    /** Maximum size of an event in bytes, which detects unbounded data; an event contains the text of a few tokens. */
    private static final long MAX_EVENT_BYTES = 1_000_000;

    private static final int STATUS_CLASS = 100;
    private static final int SUCCESS_CLASS = 2;

    private final EndpointAttempt attempt;
    private final EndpointCall call;
    private final ClientExchange exchange;
    private final ResponseSink sink;
    private final StreamSourceChannel source;
    private final PooledByteBuffer pooledBuffer;
    private final ByteBuffer buffer;
    private final EndpointProtocol protocol;
    private final EventCursor events;
    private final ResponseTail tail = new ResponseTail();
    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private final int maxRecordedBytes;
    private final long declaredLength;
    private final long maxBytes;
    private final EventMeter meter;
    private final FinalEvent finalEvent;
    private final boolean bodiless;
    private final ReadAllowance allowance;
    private final EventMemory eventMemory;
    private ByteBuffer pending = ByteBuffer.allocate(0);
    private long heldBytes;
    private Runnable failure;
    private long copied;
    private boolean started;
    private boolean closed;
    private boolean reading;

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
        this.pooledBuffer = client.worker().buffers().allocate();
        this.buffer = pooledBuffer.getBuffer();
        this.protocol = client.protocol();
        this.events = isSuccess() ? call.events() : null;
        this.maxRecordedBytes = call.idempotent() ? 0 : client.limits().maxRecordedBytes();
        this.declaredLength = contentLength(headers());
        this.maxBytes = declaredLength >= 0 ? declaredLength : call.maxResponseBytes();
        this.meter = events == null && protocol.carriesEvents(headers()) ? new EventMeter() : null;
        int status = exchange.getResponse().getResponseCode();
        this.finalEvent = protocol.endsWithFinalEvent(call, status, headers()) ? new FinalEvent() : null;
        this.bodiless = ResponseFraming.isBodiless(call.method(), status);
        this.allowance = allowance;
        this.eventMemory = client.eventMemory();
        allowance.allow(ReadAllowance.FRAMING_BYTES);
    }

    void start() {
        if (bodiless) {
            // The HTTP client would wait for the bytes that the head states, and the caller would wait with it.
            attempt.recordActivity();
            finish();
            return;
        }
        source.getReadSetter().set(c -> {
            c.suspendReads();
            copy();
        });
        copy();
    }

    /** Returns whether the sink was started, so that bytes may have reached the caller. */
    boolean isStarted() {
        return started;
    }

    /** Returns whether the sink has not taken all bytes, so that an event may have reached the caller in part. */
    boolean hasUnwrittenBytes() {
        return pending.hasRemaining();
    }

    long usedTokens() {
        return tail.usedTokens();
    }

    void close() {
        if (!closed) {
            closed = true;
            pooledBuffer.close();
            if (events != null) {
                events.endAttempt();
                eventMemory.resize(heldBytes, 0);
            }
        }
    }

    private void copy() {
        long turnEnd = copied + MAX_TURN_BYTES;
        while (!closed) {
            if (!writePending()) {
                return;
            }
            if (failure != null) {
                failure.run();
                return;
            }
            if (copied >= turnEnd) {
                attempt.runLater(this::copy);
                return;
            }
            int count = readNext();
            if (count == 0) {
                waitForBytes();
                return;
            }
            if (count < 0) {
                return;
            }
        }
    }

    /** Writes the buffered bytes; returns false if the sink is not writable now or its receiver has disconnected. */
    private boolean writePending() {
        try {
            while (pending.hasRemaining()) {
                startSink();
                if (sink.write(pending) == 0) {
                    sink.whenWritable(() -> {
                        attempt.recordActivity();
                        copy();
                    });
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            attempt.onReceiverGone();
            return false;
        }
    }

    /** Reads the next bytes; returns 0 if none are available now and -1 after the response or the attempt has ended. */
    private int readNext() {
        try {
            buffer.clear();
            int count = read();
            buffer.flip();
            if (count > 0) {
                attempt.recordActivity();
                copied += count;
                allowance.allow(ReadAllowance.FRAMING_BYTES);
                tail.add(buffer);
                recordBytes();
                if (meter != null) {
                    meter.add(buffer);
                }
                if (finalEvent != null) {
                    finalEvent.add(buffer);
                }
                pending = events == null ? buffer : events.consume(buffer);
                failure = failure();
                if (failure != null && events == null) {
                    failure.run();
                    return -1;
                }
            } else if (count < 0) {
                finish();
            }
            return count;
        } catch (IOException e) {
            attempt.fail();
            return -1;
        }
    }

    /** Reads into the buffer; the HTTP client reports the close of the connection within a read that reaches its end. */
    private int read() throws IOException {
        reading = true;
        try {
            return source.read(buffer);
        } finally {
            reading = false;
        }
    }

    /** Returns whether a read is in progress, whose result says how the response ends. */
    boolean isReading() {
        return reading;
    }

    /**
     * Returns how the attempt fails, null if it does not: the response or one of its events is too large, or has bytes that
     * are no event. The complete events before that are written first, since another endpoint continues after them.
     */
    private Runnable failure() {
        if (copied > maxBytes) {
            return () -> attempt.failOversized("body");
        }
        if (pendingEventBytes() > MAX_EVENT_BYTES) {
            return () -> attempt.failOversized("event");
        }
        if (finalEvent != null && finalEvent.isFollowed()) {
            return attempt::failContinued;
        }
        if (events != null && events.fault() != null) {
            return attempt::failMalformed;
        }
        return events == null || holdEvent() ? null : () -> attempt.failOversized("events");
    }

    /** Accounts for the incomplete event; returns false if those of all responses use too much memory. */
    private boolean holdEvent() {
        long bytes = events.pendingBytes();
        if (!eventMemory.resize(heldBytes, bytes)) {
            return false;
        }
        heldBytes = bytes;
        return true;
    }

    /** Returns the number of bytes of the incomplete event, 0 if the response is not a stream of events. */
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
            attempt.onReceiverGone();
        }
    }

    private void finish() {
        if (!isComplete()) {
            attempt.fail();
            return;
        }
        try {
            startSink();
        } catch (IOException e) {
            attempt.onReceiverGone();
            return;
        }
        boolean reusable = !bodiless && !"close".equalsIgnoreCase(headers().getFirst(Headers.CONNECTION));
        byte[] recordedBody = copied <= maxRecordedBytes ? recorded.toByteArray() : null;
        // Reports the outcome before the response ends, so that it is known when the exchange has completed.
        attempt.complete(reusable, recordedBody);
        sink.finish();
    }

    private boolean isComplete() {
        if (bodiless) {
            return true;
        }
        if (events != null && events.isAtStart()) {
            // Whatever its framing, a stream without an event is one that broke off before the first.
            return false;
        }
        if (ResponseFraming.endsWithConnection(headers()) && !attempt.isRequestWritten()) {
            return false;
        }
        boolean chunked = headers().contains(Headers.TRANSFER_ENCODING);
        ResponseEnd end = new ResponseEnd(
                copied, declaredLength, chunked, finalEvent != null && finalEvent.isLast(), pendingEventBytes() > 0);
        return protocol.isComplete(call, exchange.getResponse().getResponseCode(), headers(), end);
    }

    /** Starts the sink before the first bytes; the start is reported only if the sink takes the response. */
    private void startSink() throws IOException {
        if (!started) {
            sink.start(exchange.getResponse().getResponseCode(), headers(), events == null ? declaredLength : -1);
            started = true;
            attempt.onResponseOpened();
        }
    }

    private void recordBytes() {
        if (copied <= maxRecordedBytes) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.duplicate().get(bytes);
            recorded.writeBytes(bytes);
        }
    }

    private boolean isSuccess() {
        return exchange.getResponse().getResponseCode() / STATUS_CLASS == SUCCESS_CLASS;
    }

    private HeaderMap headers() {
        return exchange.getResponse().getResponseHeaders();
    }

    private static long contentLength(HeaderMap headers) {
        String value = headers.getFirst(Headers.CONTENT_LENGTH);
        return value == null ? -1 : Long.parseLong(value);
    }
}
