package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import org.gooseberryring.state.Verdict;

/**
 * Protocol of an endpoint whose responses arrive unchanged through another host, which may also reject a request itself.
 */
public final class RelayedEndpointProtocol extends DelegatingEndpointProtocol {
    /** Creates the protocol for requests to endpoints that have the given one. */
    public RelayedEndpointProtocol(EndpointProtocol endpoint) {
        super(endpoint);
    }

    @Override
    public boolean belongsTo(EndpointCall call, int status, HeaderMap headers) {
        // Each request has its own connection to the host, so that its statement cannot concern another request.
        return isStatedByRelay(headers) || super.belongsTo(call, status, headers);
    }

    @Override
    public Verdict refusal(EndpointCall call, int status, HeaderMap headers) {
        if (!isStatedByRelay(headers)) {
            return super.refusal(call, status, headers);
        }
        boolean notRun = Verdict.NOT_RUN.wireName().equals(headers.getFirst(EndpointAttempt.VERDICT));
        return notRun ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    }

    @Override
    public EndpointSignals signals(int status, HeaderMap headers) {
        return isStatedByRelay(headers) ? EndpointSignals.NONE : super.signals(status, headers);
    }

    @Override
    public boolean isComplete(EndpointCall call, int status, HeaderMap headers, ResponseEnd end) {
        // A host frames each response that has a body; without framing, its own end would look like that of the
        // response.
        return end.isFramingComplete() && super.isComplete(call, status, headers, end);
    }

    @Override
    public boolean isStatedByRelay(HeaderMap headers) {
        return headers.contains(EndpointAttempt.VERDICT);
    }
}
