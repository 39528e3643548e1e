package org.gooseberryring.coordination.queue;

/** Measures how many tokens leave a queue in a millisecond while requests wait. */
final class ServiceRate {
    // Older service is forgotten by halves over this time.
    private static final double WINDOW_MILLIS = 2_000;
    // Less waiting time than this says nothing about the rate.
    private static final double MIN_MILLIS = 100;

    private double tokens;
    private double millis;
    private boolean busy;
    private long markedAt;

    /** Notes that requests wait from now on. */
    void begin(long now) {
        if (!busy) {
            busy = true;
            markedAt = now;
        }
    }

    /** Notes that a request left. */
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

    /** Notes that nothing waits any more although nothing was served. */
    void end() {
        busy = false;
    }

    /** Returns tokens per millisecond, 0 if nothing is known yet. */
    double perMilli(long now) {
        double waited = millis + (busy ? now - markedAt : 0);
        return waited < MIN_MILLIS ? 0 : Math.max(tokens, 1) / waited;
    }
}
