package org.gooseberryring.standins;

/** Counts calls in windows of one second and tells when a limit is exceeded. */
final class CallRateMonitor {
    private static final long WINDOW_MILLIS = 1_000;

    private long windowStart;
    private long calls;

    /** Counts a call and returns whether it is within the limit; a limit of 0 allows all. */
    synchronized boolean allow(long now, long limit) {
        if (now - windowStart >= WINDOW_MILLIS) {
            windowStart = now;
            calls = 0;
        }
        calls++;
        return limit == 0 || calls <= limit;
    }
}
