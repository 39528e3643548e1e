package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/** Media type of streams of server-sent events. */
public final class EventStreams {
    private static final String MEDIA_TYPE = "text/event-stream";

    private EventStreams() {}

    /** Returns whether the head of a response states one media type, and this one. */
    public static boolean isStatedBy(HeaderMap headers) {
        if (headers.count(Headers.CONTENT_TYPE) != 1) {
            return false;
        }
        String type = headers.getFirst(Headers.CONTENT_TYPE);
        return MEDIA_TYPE.equalsIgnoreCase(type.split(";", 2)[0].strip());
    }
}
