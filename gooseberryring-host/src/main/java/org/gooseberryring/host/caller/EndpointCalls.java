package org.gooseberryring.host.caller;

import org.gooseberryring.state.Endpoint;
import org.gooseberryring.transport.endpoint.CallDeadline;
import org.gooseberryring.transport.endpoint.EndpointCall;

/** Prepares the request that is sent to an endpoint for a caller's request. */
@FunctionalInterface
public interface EndpointCalls {
    /** Returns the request to send; called on the request thread for each attempt. */
    EndpointCall call(OpenRequest request, Endpoint endpoint);

    /** Prepares a request of the product's own interfaces. */
    static EndpointCall standard(OpenRequest request, Endpoint endpoint) {
        Destination to = request.destination();
        return new EndpointCall(
                request.spec().id(),
                request.method(),
                to.path(),
                request.headers(),
                to.body(),
                to.kind(),
                to.idempotent(),
                null,
                EndpointCall.MAX_RESPONSE_BYTES,
                to.eventStream(),
                CallDeadline.NONE);
    }
}
