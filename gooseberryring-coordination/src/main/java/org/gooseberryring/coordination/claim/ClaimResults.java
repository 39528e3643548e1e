package org.gooseberryring.coordination.claim;

/** Builds answers to claims. */
final class ClaimResults {
    private ClaimResults() {}

    static ClaimResult of(ClaimResult.Decision decision) {
        return new ClaimResult(decision, 0, 0, null);
    }

    static ClaimResult unavailable(long retryAfterMillis) {
        return new ClaimResult(ClaimResult.Decision.UNAVAILABLE, retryAfterMillis, 0, null);
    }

    /**
     * Returns the answer that a committed claim gives to a request. The request that holds the claim is granted again:
     * its host asks again only while it waits for an answer, takes one answer, and dispatches once.
     */
    static ClaimResult from(ClaimRecord claim, ReceivedClaimRequest ask) {
        if (!claim.requestDigest().equals(ask.request().requestDigest())) {
            return of(ClaimResult.Decision.KEY_REUSED);
        }
        if (claim.recorded()) {
            return new ClaimResult(ClaimResult.Decision.RECORDED, 0, claim.status(), claim.body());
        }
        boolean holds = claim.heldBy(ask.request().requestId(), ask.host(), ask.incarnation());
        return of(holds ? ClaimResult.Decision.GRANTED : ClaimResult.Decision.MAY_HAVE_RUN);
    }
}
