package org.gooseberryring.coordination.request;

import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.Verdict;

/** Reason why a request is refused. */
enum RefusalReason {
    NO_ENDPOINT(ErrorCode.NO_ENDPOINT, "no endpoint can serve the request now"),
    NOT_HELD(ErrorCode.NO_ENDPOINT, "no endpoint holds the model or adapter, and it cannot be loaded in time"),
    BUSY(ErrorCode.NO_ENDPOINT, "the endpoints that hold the model or adapter would start the request too late"),
    BACK_OFF(ErrorCode.NO_ENDPOINT, "the endpoints that hold the model or adapter want no request for some time"),
    ENDPOINT_LIMIT(ErrorCode.NO_ENDPOINT, "the endpoints that hold the model or adapter take no more requests in time"),
    DEADLINE(ErrorCode.DEADLINE_UNREACHABLE, "the request cannot be answered before its deadline"),
    QUEUE_FULL(ErrorCode.OVERLOADED, "the queue of this host is full"),
    SHUTDOWN(ErrorCode.SHUTTING_DOWN, "this host is shutting down"),
    RATE(ErrorCode.RATE_LIMITED, "the organisation is over its token rate and burst"),
    CLAIM_UNAVAILABLE(ErrorCode.CLAIM_UNAVAILABLE, "the idempotency key could not be claimed"),
    ALREADY_CLAIMED(ErrorCode.ALREADY_CLAIMED, "the idempotency key was used before and may have run"),
    KEY_REUSED(ErrorCode.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used with a different request"),
    QUARANTINED(ErrorCode.QUARANTINED, "the request was in flight when several endpoints were lost"),
    CRASHING_PART(ErrorCode.QUARANTINED, "a part of the prompt crashed several endpoints"),
    UNKNOWN_VERSION(ErrorCode.NO_ENDPOINT, "the software version that began the stream is not known"),
    NO_VERSION(ErrorCode.NO_ENDPOINT, "no endpoint of the software version that began the stream can continue it"),
    NO_PATH(ErrorCode.NO_ENDPOINT, "this host reaches no endpoint, and no other host that does"),
    TIMEOUT(ErrorCode.ENDPOINT_TIMEOUT, "the endpoint did not answer before the deadline"),
    HOST_ENDS(ErrorCode.ENDPOINT_TIMEOUT, "this host stops before the endpoint has answered"),
    INCOMPLETE(ErrorCode.INCOMPLETE_ANSWER, "the endpoint's answer ended before it was complete");

    private final ErrorCode code;
    private final String detail;

    RefusalReason(ErrorCode code, String detail) {
        this.code = code;
        this.detail = detail;
    }

    /** Returns the refusal of a request for this reason. */
    RequestEffect.Refuse refusal(String requestId, Verdict verdict, long retryAfterMillis) {
        return new RequestEffect.Refuse(requestId, code, verdict, retryAfterMillis, detail);
    }
}
