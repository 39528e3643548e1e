package org.gooseberryring.ctl.admin;

import java.net.URI;
import java.util.Map;

/** Makes blocking HTTP calls. */
@FunctionalInterface
public interface HttpCalls {
    /**
     * Makes a call and returns its whole answer.
     *
     * @param timeoutMillis milliseconds for the whole call
     * @throws NoResponseException if no whole answer arrived; the call may have taken effect
     */
    AdminResponse call(String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis);
}
