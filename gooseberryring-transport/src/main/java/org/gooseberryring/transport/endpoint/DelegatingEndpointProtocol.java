package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.gooseberryring.state.Verdict;

/** Protocol on the way between two hosts or behind it, which follows the protocol of the endpoint; keeps no connections. */
abstract class DelegatingEndpointProtocol implements EndpointProtocol {
    private final EndpointProtocol endpoint;

    DelegatingEndpointProtocol(EndpointProtocol endpoint) {
        this.endpoint = endpoint;
    }

    @Override
    public HttpString requestIdHeader() {
        return endpoint.requestIdHeader();
    }

    @Override
    public HttpString deadlineHeader() {
        return endpoint.deadlineHeader();
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
        return endpoint.refusal(call, status, headers);
    }

    @Override
    public boolean isUnexpected(EndpointCall call, int status, HeaderMap headers) {
        return endpoint.isUnexpected(call, status, headers);
    }

    @Override
    public EndpointSignals signals(int status, HeaderMap headers) {
        return endpoint.signals(status, headers);
    }

    @Override
    public boolean isComplete(EndpointCall call, int status, HeaderMap headers, ResponseEnd end) {
        return endpoint.isComplete(call, status, headers, end);
    }

    @Override
    public boolean endsWithFinalEvent(EndpointCall call, int status, HeaderMap headers) {
        return endpoint.endsWithFinalEvent(call, status, headers);
    }

    @Override
    public boolean carriesEvents(HeaderMap headers) {
        return endpoint.carriesEvents(headers);
    }
}
