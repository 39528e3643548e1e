package org.gooseberryring.host.caller;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.transport.endpoint.EndpointCall;

/**
 * Destination of a request, parsed from its path and body.
 *
 * @param target model or service
 * @param kind kind of the endpoint
 * @param path path and query at the endpoint
 * @param body body to send
 * @param idempotent whether the request may be sent again after it may have run
 * @param costTokens prompt tokens plus the largest number of output tokens, 0 for a plain service
 * @param prefix beginning of the prompt, empty if there is none
 * @param eventStream whether the body asks a model for a stream of events
 */
public record Destination(
        RequestTarget target,
        EndpointCall.Kind kind,
        String path,
        byte[] body,
        boolean idempotent,
        long costTokens,
        String prefix,
        boolean eventStream) {}
