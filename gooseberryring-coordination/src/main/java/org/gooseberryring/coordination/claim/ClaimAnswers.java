package org.gooseberryring.coordination.claim;

/** Builds answers to claims. */
final class ClaimAnswers {
    private ClaimAnswers() {}

    static ClaimAnswer of(ClaimAnswer.Decision decision) {
        return new ClaimAnswer(decision, 0, 0, null);
    }

    static ClaimAnswer unavailable(long retryAfterMillis) {
        return new ClaimAnswer(ClaimAnswer.Decision.UNAVAILABLE, retryAfterMillis, 0, null);
    }

    /**
     * Returns the answer that a committed claim gives to a request. The request that holds the claim is granted again:
     * its host asks again only while it waits for an answer, takes one answer, and dispatches once.
     */
    static ClaimAnswer from(ClaimRecord claim, ClaimAsk ask) {
        if (!claim.requestDigest().equals(ask.request().requestDigest())) {
            return of(ClaimAnswer.Decision.KEY_REUSED);
        }
        if (claim.recorded()) {
            return new ClaimAnswer(ClaimAnswer.Decision.RECORDED, 0, claim.status(), claim.body());
        }
        boolean holds = claim.heldBy(ask.request().requestId(), ask.host(), ask.incarnation());
        return of(holds ? ClaimAnswer.Decision.GRANTED : ClaimAnswer.Decision.MAY_HAVE_RUN);
    }
}
