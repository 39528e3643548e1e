package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.gooseberryring.state.Verdict;

/** Protocol of an endpoint whose responses are passed on unchanged, also rejections, to the host that sent the request. */
public final class PassThroughProtocol implements EndpointProtocol {
    private final EndpointProtocol endpoint;

    /** Creates the protocol for endpoints that have the given one. */
    public PassThroughProtocol(EndpointProtocol endpoint) {
        this.endpoint = endpoint;
    }

    @Override
    public HttpString requestIdHeader() {
        return endpoint.requestIdHeader();
    }

    @Override
    public String host(EndpointCall call, String address) {
        return endpoint.host(call, address);
    }

    @Override
    public boolean mayReuse(EndpointCall call) {
        return false;
    }

    @Override
    public boolean keepsConnections() {
        return false;
    }

    @Override
    public boolean belongsTo(EndpointCall call, int status, HeaderMap headers) {
        return endpoint.belongsTo(call, status, headers);
    }

    @Override
    public Verdict refusal(EndpointCall call, int status, HeaderMap headers) {
        return null;
    }

    @Override
    public EndpointSignals signals(int status, HeaderMap headers) {
        return endpoint.signals(status, headers);
    }

    @Override
    public HttpString deadlineHeader() {
        return endpoint.deadlineHeader();
    }

    @Override
    public boolean isComplete(EndpointCall call, int status, HeaderMap headers, ResponseEnd end) {
        return endpoint.isComplete(call, status, headers, end);
    }

    @Override
    public boolean carriesEvents(HeaderMap headers) {
        return endpoint.carriesEvents(headers);
    }
}
