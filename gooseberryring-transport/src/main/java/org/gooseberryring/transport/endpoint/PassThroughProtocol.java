package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import org.gooseberryring.state.Verdict;

/** Protocol of an endpoint whose responses are passed on unchanged, also rejections, to the host that sent the request. */
public final class PassThroughProtocol extends DelegatingEndpointProtocol {
    /** Creates the protocol for endpoints that have the given one. */
    public PassThroughProtocol(EndpointProtocol endpoint) {
        super(endpoint);
    }

    @Override
    public Verdict refusal(EndpointCall call, int status, HeaderMap headers) {
        return null;
    }

    @Override
    public boolean isUnexpected(EndpointCall call, int status, HeaderMap headers) {
        return false;
    }

    @Override
    public boolean carriesEvents(HeaderMap headers) {
        // The host that sent the request reads the events; if this one ended them, that one would take it for a loss.
        return false;
    }
}
