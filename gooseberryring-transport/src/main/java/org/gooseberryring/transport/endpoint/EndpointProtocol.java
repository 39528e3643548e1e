package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.gooseberryring.state.Verdict;

/** What the endpoints of an installation expect in requests and state in their answers. */
public interface EndpointProtocol {
    /** Returns the header that carries the request id in both directions. */
    HttpString requestIdHeader();

    /** Returns the value of the Host header of a request to the given address. */
    String host(EndpointCall call, String address);

    /** Returns whether a connection that carried another request before may be used. */
    boolean mayReuse(EndpointCall call);

    /**
     * Returns whether connections are kept after an answer. Where no request may use them again, they would only take up
     * the connections that an endpoint accepts.
     */
    default boolean keepsConnections() {
        return true;
    }

    /** Returns whether the head of an answer belongs to the request. */
    boolean belongsTo(EndpointCall call, int status, HeaderMap headers);

    /** Returns the verdict if the answer is a failure that must not go to the caller as it is, otherwise null. */
    Verdict refusal(EndpointCall call, int status, HeaderMap headers);

    /** Returns what the endpoint states of itself in the head of an answer. */
    default EndpointSignals signals(int status, HeaderMap headers) {
        return EndpointSignals.NONE;
    }

    /** Returns whether an answer that has ended without an error is complete. */
    boolean isComplete(EndpointCall call, int status, HeaderMap headers, ResponseEnd end);

    /** Returns whether an answer that goes on after a break is held back up to the end of each event. */
    default boolean carriesEvents(HeaderMap headers) {
        return false;
    }
}
