package org.gooseberryring.host.caller;

import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.endpoint.EndpointAttempt;
import org.gooseberryring.transport.endpoint.EventCursor;
import org.xnio.XnioIoThread;

/** Request whose caller waits for an answer; its exchange is touched on its I/O thread only. */
public final class OpenRequest {
    private static final HttpString REPLAYED = new HttpString("Idempotent-Replayed");

    private final RequestSpec spec;
    private final Destination destination;
    private final HttpServerExchange exchange;
    private final HeaderMap headers;
    private final CallerSink sink;
    private final RefusalWriter refusals;
    private final EventCursor events;
    private EndpointAttempt attempt;
    private int attemptNumber;
    private boolean ended;
    private volatile Recorded recorded;

    OpenRequest(RequestSpec spec, Destination destination, HttpServerExchange exchange, HeaderMap headers) {
        this(spec, destination, exchange, headers, ResponseFormat.STANDARD, null);
    }

    /**
     * Creates a request.
     *
     * @param headers headers to send to an endpoint
     * @param style how its answers and refusals are written
     * @param events place of a stream that may go on at another endpoint, otherwise null
     */
    public OpenRequest(
            RequestSpec spec,
            Destination destination,
            HttpServerExchange exchange,
            HeaderMap headers,
            ResponseFormat style,
            EventCursor events) {
        this.spec = spec;
        this.destination = destination;
        this.exchange = exchange;
        this.headers = headers;
        this.sink = new CallerSink(exchange, style.headers());
        this.refusals = style.refusals();
        this.events = events;
    }

    public RequestSpec spec() {
        return spec;
    }

    io.undertow.server.ServerConnection connection() {
        return exchange.getConnection();
    }

    XnioIoThread thread() {
        return exchange.getIoThread();
    }

    public Destination destination() {
        return destination;
    }

    public String method() {
        return exchange.getRequestMethod().toString();
    }

    public HeaderMap headers() {
        return headers;
    }

    /** Returns the place that a stream which may go on elsewhere has reached, otherwise null. */
    public EventCursor events() {
        return events;
    }

    CallerSink sink() {
        return sink;
    }

    /** Returns the answer kept for an idempotency key, or null. */
    public Recorded recorded() {
        return recorded;
    }

    /** Keeps the whole answer; {@code body} is null if it was too large. */
    void record(int status, byte[] body) {
        byte[] kept = body == null ? null : new RecordedResponse(sink.contentType(), body).encode();
        recorded = new Recorded(status, kept);
    }

    void attempt(int number, EndpointAttempt started) {
        attemptNumber = number;
        attempt = started;
    }

    /** Gives up the attempt with the given number, if it is the present one. */
    void cancelAttempt(int number) {
        if (attempt != null && attemptNumber == number) {
            attempt.cancel();
        }
    }

    boolean ended() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }

    /** Answers with a refusal, or breaks the connection if the answer has started already. */
    void refuse(Refusal refusal) {
        if (ended) {
            return;
        }
        if (exchange.isResponseStarted() || !exchange.isResponseChannelAvailable()) {
            sink.abort();
            return;
        }
        refusals.write(exchange, spec.id(), refusal);
    }

    /** Answers with a recorded answer, on the I/O thread of the request. */
    public void replay(int status, byte[] body) {
        thread().execute(() -> replayNow(status, body));
    }

    private void replayNow(int status, byte[] body) {
        if (ended || !exchange.isResponseChannelAvailable()) {
            return;
        }
        if (body == null) {
            refuse(new Refusal(
                    ErrorCode.ALREADY_CLAIMED,
                    Verdict.MAY_HAVE_RUN,
                    0,
                    "The idempotency key was used before and its answer is not kept"));
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(REPLAYED, "true");
        RecordedResponse answer = RecordedResponse.decode(body);
        if (!answer.contentType().isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, answer.contentType());
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
    }

    /**
     * Answer kept for an idempotency key.
     *
     * @param status HTTP status
     * @param body whole body, or null if it was too large to keep
     */
    public record Recorded(int status, byte[] body) {}
}
