package org.gooseberryring.transport.http;

import io.undertow.util.HeaderMap;

/**
 * Response to an HTTP call.
 *
 * @param status HTTP status
 * @param headers headers of the response
 * @param body complete body
 */
public record HttpResult(int status, HeaderMap headers, byte[] body) {
    /** Returns the first value of a header, or null. */
    public String header(String name) {
        return headers.getFirst(name);
    }
}
