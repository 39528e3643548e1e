package org.gooseberryring.coordination.claim;

/** Creates results of claims. */
final class ClaimResults {
    private ClaimResults() {}

    static ClaimResult of(ClaimResult.Decision decision) {
        return new ClaimResult(decision, 0, 0, null);
    }

    static ClaimResult unavailable(long retryAfterMillis) {
        return new ClaimResult(ClaimResult.Decision.UNAVAILABLE, retryAfterMillis, 0, null);
    }

    /**
     * Returns the result for a request whose key has a committed claim. A request that holds the claim itself is
     * granted again. This is safe because its host repeats the request only while it waits for a result, accepts only
     * one result, and dispatches the request once.
     */
    static ClaimResult from(ClaimRecord claim, ReceivedClaimRequest received) {
        if (!claim.requestDigest().equals(received.request().requestDigest())) {
            return of(ClaimResult.Decision.KEY_REUSED);
        }
        if (claim.recorded()) {
            return new ClaimResult(ClaimResult.Decision.RECORDED, 0, claim.status(), claim.body());
        }
        boolean holdsClaim = claim.isHeldBy(received.request().requestId(), received.host(), received.incarnation());
        return of(holdsClaim ? ClaimResult.Decision.GRANTED : ClaimResult.Decision.MAY_HAVE_RUN);
    }
}
