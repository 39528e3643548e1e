package org.gooseberryring.coordination.retry;

import java.util.random.RandomGenerator;

/** Exponential back-off with random jitter, so that callers do not retry at the same time. */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private final long minMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private int failures;

    /**
     * Creates a back-off without failures.
     *
     * @param minMillis upper limit of the first delay in milliseconds
     * @param maxMillis upper limit of all delays in milliseconds
     * @param random source of the jitter
     */
    public Backoff(long minMillis, long maxMillis, RandomGenerator random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /** Records a success, which resets the delay to its minimum. */
    public void reset() {
        failures = 0;
    }

    /**
     * Records a failure and returns the delay in milliseconds, between half of the current limit and the full limit.
     */
    public long next() {
        long limit = Math.min(maxMillis, minMillis << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return limit / 2 + random.nextLong(limit / 2 + 1);
    }
}
