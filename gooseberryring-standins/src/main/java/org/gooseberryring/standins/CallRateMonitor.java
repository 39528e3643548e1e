package org.gooseberryring.standins;

/** Counts calls in windows of one second and checks the count against a limit. */
final class CallRateMonitor {
    private static final long WINDOW_MILLIS = 1_000;

    private long windowStartMillis;
    private long calls;

    /** Counts a call and returns whether it is within the limit. A limit of 0 allows all calls. */
    synchronized boolean allow(long nowMillis, long limit) {
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = nowMillis;
            calls = 0;
        }
        calls++;
        return limit == 0 || calls <= limit;
    }
}
