package org.gooseberryring.coordination.retry;

import java.util.random.RandomGenerator;

/** Waiting times that double with each failure and are spread at random, so that callers do not return together. */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private final long minMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private int failures;

    /**
     * Creates the waiting times of a caller that has not failed yet.
     *
     * @param minMillis limit of the first wait in milliseconds
     * @param maxMillis limit of every wait in milliseconds
     * @param random spreads the waits
     */
    public Backoff(long minMillis, long maxMillis, RandomGenerator random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /** Notes a success, after which the waits begin anew. */
    public void reset() {
        failures = 0;
    }

    /** Records a failure and returns the milliseconds to wait, between half of the present limit and the whole. */
    public long next() {
        long limit = Math.min(maxMillis, minMillis << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return limit / 2 + random.nextLong(limit / 2 + 1);
    }
}
