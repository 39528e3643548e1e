package org.gooseberryring.coordination.ratelimit;

/**
 * Limit on the requests that a process of an endpoint takes from all hosts together.
 *
 * <p>The sequence orders the statements of a process across hosts without their clocks: a host that reads a different
 * statement in a response gives it the number after the last one that it knows.
 *
 * @param requestsPerSecond limit, infinite if there is none
 * @param sequence number of the statement, 0 if the process has not stated any
 */
public record RateLimit(double requestsPerSecond, long sequence) {
    /** No limit has been stated. */
    public static final RateLimit NONE = new RateLimit(Double.POSITIVE_INFINITY, 0);

    /**
     * Rate at which an endpoint with a lower limit is asked, since only its responses can state the end of the limit.
     */
    private static final double MIN_PERMITS_PER_SECOND = 0.1;

    /** Returns whether there is a limit. */
    public boolean isLimited() {
        return !Double.isInfinite(requestsPerSecond);
    }

    /** Returns the rate at which permits are issued to all hosts together, infinite if there is no limit. */
    public double permitsPerSecond() {
        return Math.max(MIN_PERMITS_PER_SECOND, requestsPerSecond);
    }

    /** Returns whether this is a later statement than another one; of two with one number, the lower limit counts. */
    boolean supersedes(RateLimit known) {
        return sequence > known.sequence || sequence == known.sequence && requestsPerSecond < known.requestsPerSecond;
    }

    /** Returns the statement that follows this one. */
    RateLimit next(double newRequestsPerSecond) {
        return new RateLimit(newRequestsPerSecond, sequence + 1);
    }
}
