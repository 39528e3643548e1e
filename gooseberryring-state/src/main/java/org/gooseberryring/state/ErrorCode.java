package org.gooseberryring.state;

/** Stable codes of rejections and failures, as shown to callers and operators. */
public enum ErrorCode {
    /** The request or document is malformed. */
    INVALID_REQUEST("invalid-request", 400),
    /** The API key is missing, unknown or revoked. */
    UNAUTHENTICATED("unauthenticated", 401),
    /** The API key is valid but does not permit the operation. */
    FORBIDDEN("forbidden", 403),
    /** The model, service or object does not exist. */
    NOT_FOUND("not-found", 404),
    /** The idempotency key was already used and its request may have run. */
    ALREADY_CLAIMED("already-claimed", 409),
    /** The configuration has changed since the revision on which the change is based. */
    REVISION_CONFLICT("revision-conflict", 409),
    /** The idempotency key was used before with a different request. */
    IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE("body-too-large", 413),
    /** The document is well-formed but its content is invalid. */
    INVALID_CONFIGURATION("invalid-configuration", 422),
    /** The request has crashed endpoints before and is rejected. */
    QUARANTINED("quarantined", 422),
    /** The organisation has exceeded its token rate and burst. */
    RATE_LIMITED("rate-limited", 429),
    /** A queue or connection limit of the host is reached. */
    OVERLOADED("overloaded", 503),
    /** The request cannot finish before its deadline. */
    DEADLINE_UNREACHABLE("deadline-unreachable", 503),
    /** No endpoint can accept the request now. */
    NO_ENDPOINT("no-endpoint", 503),
    /** The endpoint's response ended before it was complete. */
    INCOMPLETE_ANSWER("incomplete-answer", 502),
    /** This host cannot open a connection to the endpoint. */
    ENDPOINT_UNREACHABLE("endpoint-unreachable", 502),
    /** The endpoint did not respond in time. */
    ENDPOINT_TIMEOUT("endpoint-timeout", 504),
    /** The claim of an idempotency key could not be recorded. */
    CLAIM_UNAVAILABLE("claim-unavailable", 503),
    /** The host has not confirmed its configuration for longer than the grace period. */
    CONFIGURATION_STALE("configuration-stale", 503),
    /** The platform's object store is unavailable. */
    STORE_UNAVAILABLE("store-unavailable", 503),
    /** The host is shutting down. */
    SHUTTING_DOWN("shutting-down", 503),
    /** An unexpected failure inside the system. */
    INTERNAL("internal", 500);

    private final String wireName;
    private final int httpStatus;

    ErrorCode(String wireName, int httpStatus) {
        this.wireName = wireName;
        this.httpStatus = httpStatus;
    }

    /** Returns the code as written in responses and logs. */
    public String wireName() {
        return wireName;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return httpStatus;
    }
}
