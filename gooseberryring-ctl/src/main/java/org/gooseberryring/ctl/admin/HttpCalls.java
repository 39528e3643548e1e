package org.gooseberryring.ctl.admin;

import java.net.URI;
import java.util.Map;

/** Makes blocking HTTP calls. */
@FunctionalInterface
public interface HttpCalls {
    /**
     * Makes a call and returns the complete response.
     *
     * @param timeoutMillis time-out of the complete call, in milliseconds
     * @throws NoResponseException if no complete response arrives; the request may have taken effect
     */
    AdminResponse call(String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis);
}
