package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.gooseberryring.state.Verdict;

/** Defines what the endpoints of a deployment expect in requests and send in their responses. */
public interface EndpointProtocol {
    /** Returns the header that carries the request id in both directions. */
    HttpString requestIdHeader();

    /** Returns the value of the Host header of a request to the given address. */
    String host(EndpointCall call, String address);

    /** Returns whether the request may be sent over a connection that was used for another request before. */
    boolean mayReuse(EndpointCall call);

    /**
     * Returns whether connections are kept open after a response. If no request may reuse them, idle connections would
     * only count towards the limit of connections that an endpoint accepts.
     */
    default boolean keepsConnections() {
        return true;
    }

    /** Returns whether the head of a response belongs to the request. */
    boolean belongsTo(EndpointCall call, int status, HeaderMap headers);

    /** Returns the verdict if the response is a failure that must not be passed on to the caller, otherwise null. */
    Verdict refusal(EndpointCall call, int status, HeaderMap headers);

    /**
     * Returns whether the head of a response that is not refused is not one of a sound endpoint, so that nothing behind it is
     * passed on.
     */
    default boolean isUnexpected(EndpointCall call, int status, HeaderMap headers) {
        return false;
    }

    /** Returns the signals of the endpoint about itself in the head of a response. */
    default EndpointSignals signals(int status, HeaderMap headers) {
        return EndpointSignals.NONE;
    }

    /** Returns whether a response is the statement of a host that has not passed the request on to the endpoint. */
    default boolean isStatedByRelay(HeaderMap headers) {
        return false;
    }

    /**
     * Returns the header of a request that states the milliseconds until its deadline, null if the protocol has none.
     */
    default HttpString deadlineHeader() {
        return null;
    }

    /** Returns whether a response that has ended without an error is complete; not called for one that has no body. */
    boolean isComplete(EndpointCall call, int status, HeaderMap headers, ResponseEnd end);

    /** Returns whether the body of a response ends with the final event of a completion stream, with nothing after it. */
    default boolean endsWithFinalEvent(EndpointCall call, int status, HeaderMap headers) {
        return false;
    }

    /** Returns whether the body of a response with these headers is a stream of events. */
    default boolean carriesEvents(HeaderMap headers) {
        return false;
    }
}
