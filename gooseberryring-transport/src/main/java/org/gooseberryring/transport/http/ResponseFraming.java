package org.gooseberryring.transport.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/** Determines from the head of a response where the response ends. */
public final class ResponseFraming {
    private static final String HEAD = "HEAD";
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private ResponseFraming() {}

    /** Returns whether a response ends with its head, whatever length the head states. */
    public static boolean isBodiless(String method, int status) {
        return HEAD.equals(method) || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /**
     * Returns whether the body of a response ends with its connection. Such an end says nothing while the request is not
     * written: a connection that is closed with unread bytes is reset, also after the end of its data.
     */
    public static boolean endsWithConnection(HeaderMap headers) {
        return !headers.contains(Headers.CONTENT_LENGTH) && !headers.contains(Headers.TRANSFER_ENCODING);
    }
}
