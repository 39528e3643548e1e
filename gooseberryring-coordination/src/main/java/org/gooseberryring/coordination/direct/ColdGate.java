package org.gooseberryring.coordination.direct;

/**
 * Bounds what one host sends to a cold endpoint, so that all hosts together stay below what it bears.
 *
 * <p>Each host has an equal part of the rate and at most one request saved.
 */
final class ColdGate {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_SAVED = 1;

    private long coldUntil;
    private double saved = MAX_SAVED;
    private long savedAt;

    /** Notes for how long the endpoint stays cold; a shorter remaining time replaces a longer one. */
    void cold(long remainingMillis, long now) {
        coldUntil = now + remainingMillis;
    }

    boolean isCold(long now) {
        return now < coldUntil;
    }

    /** Returns whether a request may be sent now; a rate of 0 means that the endpoint bears any load. */
    boolean open(double ratePerSecond, int hosts, long now) {
        return !isCold(now) || ratePerSecond <= 0 || saved(ratePerSecond, hosts, now) >= 1;
    }

    /** Counts a request that is sent. */
    void sent(double ratePerSecond, int hosts, long now) {
        if (isCold(now) && ratePerSecond > 0) {
            saved = saved(ratePerSecond, hosts, now) - 1;
            savedAt = now;
        }
    }

    private double saved(double ratePerSecond, int hosts, long now) {
        return Math.min(MAX_SAVED, saved + (now - savedAt) * ratePerSecond / hosts / MILLIS_PER_SECOND);
    }
}
