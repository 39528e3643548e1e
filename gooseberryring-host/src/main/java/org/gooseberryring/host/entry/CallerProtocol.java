package org.gooseberryring.host.entry;

import io.undertow.util.HeaderMap;
import org.gooseberryring.host.caller.EndpointCalls;
import org.gooseberryring.host.caller.ResponseFormat;

/** Format of the requests and responses that the callers of a deployment use. */
public interface CallerProtocol {
    /**
     * Parses the head of a request.
     *
     * @throws org.gooseberryring.host.caller.RefusedException if it is malformed
     */
    RequestHead head(HeaderMap headers);

    /** Returns the request headers that are forwarded to an endpoint. */
    HeaderMap toEndpoint(HeaderMap headers);

    /** Returns the format of responses and rejections. */
    ResponseFormat responseFormat();

    /** Returns the component that prepares requests to endpoints. */
    EndpointCalls calls();
}
