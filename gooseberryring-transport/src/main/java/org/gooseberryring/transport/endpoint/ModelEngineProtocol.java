package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.gooseberryring.state.Verdict;

/** Protocol of the endpoint interface that this system defines for model engines and plain services. */
public final class ModelEngineProtocol implements EndpointProtocol {
    private static final int OK = 200;
    private static final int FIRST_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;

    @Override
    public HttpString requestIdHeader() {
        return EndpointAttempt.REQUEST_ID;
    }

    @Override
    public String host(EndpointCall call, String address) {
        return address;
    }

    @Override
    public boolean mayReuse(EndpointCall call) {
        // Without an id, a delayed copy of an earlier response cannot be distinguished from the response to this
        // request.
        return call.idempotent() && call.kind().echoesRequestId();
    }

    @Override
    public boolean belongsTo(EndpointCall call, int status, HeaderMap headers) {
        return !call.kind().echoesRequestId() || call.requestId().equals(headers.getFirst(requestIdHeader()));
    }

    @Override
    public Verdict refusal(EndpointCall call, int status, HeaderMap headers) {
        String verdict = headers.getFirst(EndpointAttempt.VERDICT);
        if (call.kind().isRelay() && verdict != null && status >= FIRST_ERROR) {
            return Verdict.NOT_RUN.wireName().equals(verdict) ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        }
        return call.kind().isModel() && status >= FIRST_SERVER_ERROR ? Verdict.MAY_HAVE_RUN : null;
    }

    @Override
    public boolean isUnexpected(EndpointCall call, int status, HeaderMap headers) {
        if (!call.kind().isModel() || status >= FIRST_ERROR) {
            return false;
        }
        // No encoding is asked for, and whether events are is known from the request.
        boolean encoded = headers.contains(Headers.CONTENT_ENCODING);
        return status != OK || encoded || call.eventStream() && !EventStreams.isStatedBy(headers);
    }

    @Override
    public boolean isComplete(EndpointCall call, int status, HeaderMap headers, ResponseEnd end) {
        if (endsWithFinalEvent(call, status, headers)) {
            return end.finalEvent();
        }
        // Without a length or chunks, a broken connection cannot be distinguished from a complete response.
        return end.isFramingComplete();
    }

    @Override
    public boolean endsWithFinalEvent(EndpointCall call, int status, HeaderMap headers) {
        return call.kind().isModel() && status < FIRST_ERROR && EventStreams.isStatedBy(headers);
    }
}
