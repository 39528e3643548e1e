package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;

/**
 * Request to an endpoint or to a relay.
 *
 * @param requestId identifier sent as X-Request-Id
 * @param method HTTP method
 * @param path path with query
 * @param headers headers to send besides Host, Content-Length, X-Request-Id and those that state the deadline
 * @param body complete body, empty if there is none
 * @param kind kind of the responding process, which determines how its response is verified
 * @param idempotent whether the request may be sent twice; if not, it is never sent over a reused connection
 * @param events position of the event stream at the caller, null if the response is not read as events
 * @param maxResponseBytes maximum body size in bytes of a response without a declared length
 * @param eventStream whether the body of the request asks a model for a stream of events
 * @param deadline time from which on the request is not sent
 */
public record EndpointCall(
        String requestId,
        String method,
        String path,
        HeaderMap headers,
        byte[] body,
        Kind kind,
        boolean idempotent,
        EventCursor events,
        long maxResponseBytes,
        boolean eventStream,
        CallDeadline deadline) {
    /** Default of the maximum body size in bytes of a response without a declared length. */
    public static final long MAX_RESPONSE_BYTES = 1_000_000_000;

    /** Creates a call whose response cannot be continued by another endpoint. */
    public EndpointCall(
            String requestId,
            String method,
            String path,
            HeaderMap headers,
            byte[] body,
            Kind kind,
            boolean idempotent) {
        this(
                requestId,
                method,
                path,
                headers,
                body,
                kind,
                idempotent,
                null,
                MAX_RESPONSE_BYTES,
                false,
                CallDeadline.NONE);
    }

    /** Returns the same call with a deadline. */
    public EndpointCall withDeadline(CallDeadline other) {
        return with(headers, other);
    }

    /** Returns the same call with other headers and a deadline. */
    public EndpointCall with(HeaderMap otherHeaders, CallDeadline otherDeadline) {
        return new EndpointCall(
                requestId,
                method,
                path,
                otherHeaders,
                body,
                kind,
                idempotent,
                events,
                maxResponseBytes,
                eventStream,
                otherDeadline);
    }

    /** Kind of the responding process. */
    public enum Kind {
        /** Model engine: echoes the request id; streams end with a final event. */
        MODEL_ENGINE,
        /** Plain service: its responses are passed on unchanged. */
        PLAIN_SERVICE,
        /** Host of another failure domain that serves a model: also sends its verdict in a header. */
        MODEL_RELAY,
        /** Host of another failure domain that serves a plain service: echoes the request id and sends its verdict. */
        SERVICE_RELAY;

        /** Returns whether the responding process echoes the request id. */
        public boolean echoesRequestId() {
            return this != PLAIN_SERVICE;
        }

        /** Returns whether the responding process is a host, which sends its verdict in a header. */
        public boolean isRelay() {
            return this == MODEL_RELAY || this == SERVICE_RELAY;
        }

        /** Returns whether a model produces the response; its streams end with a final event. */
        public boolean isModel() {
            return this == MODEL_ENGINE || this == MODEL_RELAY;
        }
    }
}
