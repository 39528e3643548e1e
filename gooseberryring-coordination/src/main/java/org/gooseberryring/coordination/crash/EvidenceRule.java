package org.gooseberryring.coordination.crash;

/**
 * How much evidence crashes of endpoints are against a part that no endpoint has answered yet.
 *
 * <p>Crashes are separate if they do not closely follow each other; crashes at one moment may have a common cause, such as
 * the loss of a failure domain.
 *
 * @param minSeparate separate crashes that exclude a common cause
 * @param minCrashes crashes that are sufficient if {@code minSeparate} of them are separate
 * @param minCrashesAtOnce crashes that are sufficient even if they have occurred at one moment
 * @param maxPrompts maximum number of prompts that are kept for one crash
 */
record EvidenceRule(int minSeparate, int minCrashes, int minCrashesAtOnce, int maxPrompts) {
    /** Rule for parts of prompts, which many requests in flight at a crash may have in common. */
    static final EvidenceRule PROMPT_PARTS = new EvidenceRule(3, 3, 5, 32);

    /**
     * Rule for whole requests, which crashes rarely have in common by chance, except for a popular request that is in
     * flight at many endpoints at any moment.
     */
    static final EvidenceRule WHOLE_REQUESTS = new EvidenceRule(2, 3, Integer.MAX_VALUE, 64);

    boolean isSufficient(int crashes, int separate) {
        return isSequence(separate) && crashes >= minCrashes || crashes >= minCrashesAtOnce;
    }

    boolean isSequence(int separate) {
        return separate >= minSeparate;
    }
}
