package org.gooseberryring.host.entry;

import io.undertow.util.HeaderMap;
import org.gooseberryring.host.caller.EndpointCalls;
import org.gooseberryring.host.caller.ResponseFormat;

/** How the callers of an installation write requests and read answers. */
public interface CallerProtocol {
    /**
     * Reads the head of a request.
     *
     * @throws org.gooseberryring.host.caller.RefusedException if it is malformed
     */
    RequestHead head(HeaderMap headers);

    /** Returns the headers of a request that an endpoint may see. */
    HeaderMap toEndpoint(HeaderMap headers);

    /** Returns how answers and refusals are written. */
    ResponseFormat responseFormat();

    /** Returns how requests to endpoints are prepared. */
    EndpointCalls calls();
}
