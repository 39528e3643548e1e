package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;

/**
 * Request to send to an endpoint or to a relay.
 *
 * @param requestId identifier sent as X-Request-Id
 * @param method HTTP method
 * @param path path with query
 * @param headers headers to send besides Host, Content-Length and X-Request-Id
 * @param body whole body, empty if there is none
 * @param kind what answers, which determines how its answer is verified
 * @param idempotent whether the request may be sent twice; if not, it never goes over a reused connection
 * @param events events that reached the caller, if a broken stream may go on elsewhere; otherwise null
 * @param maxResponseBytes largest body of an answer that states no length
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
        long maxResponseBytes) {
    /** Largest body of an answer that states no length, if nothing is known of it. */
    public static final long MAX_RESPONSE_BYTES = 1_000_000_000;

    /** Creates a call whose answer cannot go on elsewhere. */
    public EndpointCall(
            String requestId,
            String method,
            String path,
            HeaderMap headers,
            byte[] body,
            Kind kind,
            boolean idempotent) {
        this(requestId, method, path, headers, body, kind, idempotent, null, MAX_RESPONSE_BYTES);
    }

    /** Kind of the answering process. */
    public enum Kind {
        /** Model engine: echoes the request id; streams end with a final event. */
        MODEL_ENGINE,
        /** Plain service: its answers are passed on as they are. */
        PLAIN_SERVICE,
        /** Host of another failure domain that serves a model: also states its verdict in a header. */
        MODEL_RELAY,
        /** Host of another failure domain that serves a plain service: echoes the request id and states its verdict. */
        SERVICE_RELAY;

        /** Returns whether the answering process echoes the request id. */
        public boolean echoesRequestId() {
            return this != PLAIN_SERVICE;
        }

        /** Returns whether the answering process is a host, which states its verdict. */
        public boolean isRelay() {
            return this == MODEL_RELAY || this == SERVICE_RELAY;
        }

        /** Returns whether the answer is a model's, whose streams end with a final event. */
        public boolean isModel() {
            return this == MODEL_ENGINE || this == MODEL_RELAY;
        }
    }
}
