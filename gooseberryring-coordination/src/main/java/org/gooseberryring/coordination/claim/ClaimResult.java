package org.gooseberryring.coordination.claim;

/**
 * Answer of a shard owner to a claim.
 *
 * @param decision what was decided
 * @param retryAfterMillis milliseconds after which to ask again, 0 unless unavailable
 * @param status recorded HTTP status, 0 unless recorded
 * @param body recorded answer, or null
 */
public record ClaimResult(Decision decision, long retryAfterMillis, int status, byte[] body) {
    /** Decision on a claim. */
    public enum Decision {
        /** The claim is in the store; the request may be dispatched once. */
        GRANTED,
        /** The key was claimed before and its request may have run. */
        MAY_HAVE_RUN,
        /** The key was claimed before and its answer is recorded. */
        RECORDED,
        /** The key was claimed before by a different request. */
        KEY_REUSED,
        /** The claim could not be recorded; the request did not run. */
        UNAVAILABLE
    }
}
