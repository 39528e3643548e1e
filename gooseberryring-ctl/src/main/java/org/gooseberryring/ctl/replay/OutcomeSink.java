package org.gooseberryring.ctl.replay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.util.HeaderMap;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.GooseberryringException;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.endpoint.AttemptListener;
import org.gooseberryring.transport.endpoint.ResponseSink;

/** Measures a response and stores only the data needed for its outcome. */
final class OutcomeSink implements ResponseSink, AttemptListener {
    private static final int MAX_REFUSAL_BYTES = 4_096;
    private static final int TAIL_BYTES = 64;
    private static final String FINAL_EVENT = "data: [DONE]";
    private static final int FIRST_ERROR = 400;

    private final TraceLine line;
    private final long sentMillis;
    private final Consumer<Outcome> done;
    private final long startedNanos = System.nanoTime();
    private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
    private String tail = "";
    private int status;
    private long firstByteNanos = -1;

    OutcomeSink(TraceLine line, long sentMillis, Consumer<Outcome> done) {
        this.line = line;
        this.sentMillis = sentMillis;
        this.done = done;
    }

    @Override
    public void start(int responseStatus, HeaderMap headers, long contentLength) {
        status = responseStatus;
    }

    @Override
    public int write(ByteBuffer bytes) {
        if (firstByteNanos < 0) {
            firstByteNanos = System.nanoTime();
        }
        byte[] part = new byte[bytes.remaining()];
        bytes.get(part);
        if (status >= FIRST_ERROR && refusal.size() < MAX_REFUSAL_BYTES) {
            refusal.writeBytes(part);
        }
        String text = tail + new String(part, StandardCharsets.ISO_8859_1);
        tail = text.substring(Math.max(0, text.length() - TAIL_BYTES));
        return part.length;
    }

    @Override
    public void flush() {
        // Nothing is buffered.
    }

    @Override
    public void whenWritable(Runnable callback) {
        callback.run();
    }

    @Override
    public void finish() {
        // The outcome is reported in ended, which is also called for truncated responses.
    }

    @Override
    public void abort() {
        // The outcome is reported in ended.
    }

    @Override
    public void onResponseStarted() {
        // The time of the first byte is recorded in write.
    }

    @Override
    public void onAttemptEnded(AttemptOutcome outcome, byte[] recorded) {
        boolean complete = outcome.verdict() == Verdict.COMPLETED
                && (status >= FIRST_ERROR || tail.strip().endsWith(FINAL_EVENT));
        done.accept(new Outcome(
                line,
                sentMillis,
                status,
                status >= FIRST_ERROR ? code() : null,
                complete,
                firstByteNanos < 0 ? -1 : micros(firstByteNanos),
                micros(System.nanoTime())));
    }

    private String code() {
        try {
            return Json.readTree(refusal.toByteArray()).path("code").asText("");
        } catch (GooseberryringException e) {
            return "";
        }
    }

    private long micros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos - startedNanos);
    }
}
