package org.gooseberryring.coordination.config;

import java.util.random.RandomGenerator;

/** Waiting times that double with each failure and are spread at random, so that callers do not return together. */
final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private final long minMillis;
    private final long maxMillis;
    private final RandomGenerator random;
    private int failures;

    Backoff(long minMillis, long maxMillis, RandomGenerator random) {
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.random = random;
    }

    void reset() {
        failures = 0;
    }

    /** Records a failure and returns the time to wait, between half of the present limit and the whole. */
    long next() {
        long limit = Math.min(maxMillis, minMillis << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return limit / 2 + random.nextLong(limit / 2 + 1);
    }
}
