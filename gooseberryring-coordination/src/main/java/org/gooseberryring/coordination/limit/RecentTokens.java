package org.gooseberryring.coordination.limit;

/**
 * Tokens of the last seconds, which decay exponentially.
 *
 * @param tokens tokens at the given time
 * @param updatedAt monotonic time in milliseconds
 */
record RecentTokens(double tokens, long updatedAt) {
    private static final double HALF_LIFE_MILLIS = 4_000;

    static RecentTokens none(long now) {
        return new RecentTokens(0, now);
    }

    /** Returns what is left at a time. */
    double at(long now) {
        return tokens * Math.pow(0.5, (now - updatedAt) / HALF_LIFE_MILLIS);
    }

    RecentTokens plus(double more, long now) {
        return new RecentTokens(at(now) + more, now);
    }
}
