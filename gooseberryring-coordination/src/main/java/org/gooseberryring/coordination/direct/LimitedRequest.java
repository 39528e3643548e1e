package org.gooseberryring.coordination.direct;

/**
 * Effect of the rate limit of an endpoint on a request.
 *
 * @param requestId identifier of the request
 * @param endpoint limited endpoint that the request would have been sent to without the limit
 * @param action what happens to the request instead
 * @param waitMillis expected time until the endpoint takes the request, 0 if it is not known
 */
public record LimitedRequest(String requestId, String endpoint, Action action, long waitMillis) {
    /** What happens to a request. */
    public enum Action {
        /** It waits until the endpoint takes another request, or another endpoint has loaded its model. */
        HELD,
        /** It is sent to another endpoint. */
        SENT_ELSEWHERE,
        /** It is rejected, because the endpoint would take it too late. */
        REJECTED
    }

    /** Returns the same effect on a request that waits. */
    LimitedRequest held() {
        return new LimitedRequest(requestId, endpoint, Action.HELD, waitMillis);
    }
}
