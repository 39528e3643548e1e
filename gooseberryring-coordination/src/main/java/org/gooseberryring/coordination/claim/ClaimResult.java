package org.gooseberryring.coordination.claim;

/**
 * Result of a claim, as the owner of its shard decided it.
 *
 * @param decision decision on the claim
 * @param retryAfterMillis delay before a retry in milliseconds, 0 unless unavailable
 * @param status recorded HTTP status, 0 unless recorded
 * @param body recorded response, or null
 */
public record ClaimResult(Decision decision, long retryAfterMillis, int status, byte[] body) {
    /** Decision on a claim. */
    public enum Decision {
        /** The claim is in the store; the request may be dispatched once. */
        GRANTED,
        /** The key was claimed before and its request may have run. */
        MAY_HAVE_RUN,
        /** The key was claimed before and the response is recorded. */
        RECORDED,
        /** The key was claimed before by a different request. */
        KEY_REUSED,
        /** The claim could not be recorded; the request did not run. */
        UNAVAILABLE
    }
}
