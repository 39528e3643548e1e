package org.gooseberryring.coordination.queue;

/** Measures how many tokens per millisecond leave a queue while requests wait. */
final class ServiceRate {
    // The counts are halved each time they cover this period, so that older service has less weight.
    private static final double WINDOW_MILLIS = 2_000;
    // Minimum waiting time from which the rate can be estimated.
    private static final double MIN_MILLIS = 100;

    private double tokens;
    private double millis;
    private boolean busy;
    private long markedAt;

    /** Records that requests wait from now on. */
    void begin(long now) {
        if (!busy) {
            busy = true;
            markedAt = now;
        }
    }

    /** Records that a request left the queue. */
    void served(long cost, boolean moreWait, long now) {
        millis += now - markedAt;
        tokens += cost;
        markedAt = now;
        busy = moreWait;
        if (millis > WINDOW_MILLIS) {
            millis /= 2;
            tokens /= 2;
        }
    }

    /** Records that the queue is empty although no request was served. */
    void end() {
        busy = false;
    }

    /** Returns the rate in tokens per millisecond, 0 if it is unknown. */
    double perMilli(long now) {
        double waited = millis + (busy ? now - markedAt : 0);
        return waited < MIN_MILLIS ? 0 : Math.max(tokens, 1) / waited;
    }
}
