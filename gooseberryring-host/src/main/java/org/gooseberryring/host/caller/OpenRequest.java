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

/** Request whose caller waits for a response. The exchange is accessed only on its own I/O thread. */
public final class OpenRequest {
    private static final HttpString REPLAYED = new HttpString("Idempotent-Replayed");

    private final RequestSpec spec;
    private final Destination destination;
    private final HttpServerExchange exchange;
    private final HeaderMap headers;
    private final CallerSink sink;
    private final RefusalWriter refusalWriter;
    private final EventCursor events;
    private EndpointAttempt attempt;
    private int attemptNumber;
    private volatile Recorded recorded;

    OpenRequest(RequestSpec spec, Destination destination, HttpServerExchange exchange, HeaderMap headers) {
        this(spec, destination, exchange, headers, ResponseFormat.STANDARD, null);
    }

    /**
     * Creates a request.
     *
     * @param headers headers to send to the endpoint
     * @param format format of responses and refusals
     * @param events position of the event stream at the caller, null if the response is not read as events
     */
    public OpenRequest(
            RequestSpec spec,
            Destination destination,
            HttpServerExchange exchange,
            HeaderMap headers,
            ResponseFormat format,
            EventCursor events) {
        this.spec = spec;
        this.destination = destination;
        this.exchange = exchange;
        this.headers = headers;
        this.sink = new CallerSink(exchange, format.headers());
        this.refusalWriter = format.refusals();
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

    /** Returns the position of the event stream at the caller, null if the response is not read as events. */
    public EventCursor events() {
        return events;
    }

    CallerSink sink() {
        return sink;
    }

    /** Returns the response recorded for the idempotency key, or null. */
    public Recorded recorded() {
        return recorded;
    }

    /** Records the complete response; {@code body} is null if it was too large. */
    void record(int status, byte[] body) {
        byte[] encoded = body == null ? null : new RecordedResponse(sink.contentType(), body).encode();
        recorded = new Recorded(status, encoded);
    }

    void setAttempt(int number, EndpointAttempt started) {
        attemptNumber = number;
        attempt = started;
    }

    /** Cancels the attempt with the given number if it is the current one. */
    void cancelAttempt(int number) {
        if (attempt != null && attemptNumber == number) {
            attempt.cancelNow();
        }
    }

    /** Returns whether the caller still waits for a response, or for the rest of one. */
    boolean isIncomplete() {
        return sink.progress().isIncomplete();
    }

    /** Returns whether the attempt with the given number is the current one and its response has started. */
    boolean hasAttemptStarted(int number) {
        return attempt != null && attemptNumber == number && attempt.hasStarted();
    }

    /** Returns whether the response of an endpoint has started. */
    boolean hasResponseStarted() {
        return sink.progress().hasStarted();
    }

    boolean isEnded() {
        return sink.progress().isClosed();
    }

    /** Responds with a refusal, or cuts the response of an endpoint if it has already started. */
    void refuse(Refusal refusal) {
        if (sink.progress().tryRefuse()) {
            refusalWriter.write(exchange, spec.id(), refusal);
        } else {
            sink.abort();
        }
    }

    /** Responds with a recorded response, on the I/O thread of the request. */
    public void replay(int status, byte[] body) {
        thread().execute(() -> replayNow(status, body));
    }

    private void replayNow(int status, byte[] body) {
        if (body == null) {
            refuse(new Refusal(
                    ErrorCode.ALREADY_CLAIMED,
                    Verdict.MAY_HAVE_RUN,
                    0,
                    "The idempotency key was used before and the response is not recorded"));
            return;
        }
        if (!sink.progress().tryReplay()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(REPLAYED, "true");
        RecordedResponse response = RecordedResponse.decode(body);
        if (!response.contentType().isEmpty()) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, response.contentType());
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
    }

    /**
     * Response recorded for an idempotency key.
     *
     * @param status HTTP status
     * @param body encoded response, or null if it was too large to record
     */
    public record Recorded(int status, byte[] body) {}
}
