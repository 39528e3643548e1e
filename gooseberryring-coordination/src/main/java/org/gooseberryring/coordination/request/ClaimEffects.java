package org.gooseberryring.coordination.request;

import org.gooseberryring.coordination.claim.ClaimResult;
import org.gooseberryring.state.Verdict;

/** Effects of requests that must not run twice and have an idempotency key. */
final class ClaimEffects {
    /** Organisation under which the idempotency keys of open routes are claimed. */
    private static final String OPEN_ROUTE = "";

    private ClaimEffects() {}

    static RequestEffect claim(RequestSpec spec) {
        String organisation = spec.organisation() == null ? OPEN_ROUTE : spec.organisation();
        return new RequestEffect.Claim(spec.id(), organisation, spec.idempotencyKey(), spec.digest());
    }

    /**
     * Returns the response to a request whose idempotency key was not granted.
     *
     * @param minRetryMillis minimum milliseconds after which a retry may succeed
     */
    static RequestEffect response(String requestId, ClaimResult result, long minRetryMillis) {
        return switch (result.decision()) {
            case RECORDED -> new RequestEffect.Replay(requestId);
            case MAY_HAVE_RUN -> RefusalReason.ALREADY_CLAIMED.refusal(requestId, Verdict.MAY_HAVE_RUN, 0);
            case KEY_REUSED -> RefusalReason.KEY_REUSED.refusal(requestId, Verdict.NOT_RUN, 0);
            default ->
                RefusalReason.CLAIM_UNAVAILABLE.refusal(
                        requestId, Verdict.NOT_RUN, Math.max(minRetryMillis, result.retryAfterMillis()));
        };
    }
}
