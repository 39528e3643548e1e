package org.gooseberryring.coordination.queue;

/** Measures how many tokens per millisecond leave a queue while requests wait. */
final class ServiceRate {
    // The counts are halved each time they cover this period, so that older service has less weight.
    private static final double WINDOW_MILLIS = 2_000;
    // Minimum waiting time from which the rate can be estimated.
    private static final double MIN_MEASURED_MILLIS = 100;

    private double tokens;
    private double millis;
    private boolean busy;
    private long measuredUntil;

    /** Records that requests wait from now on. */
    void onWaitStarted(long now) {
        if (!busy) {
            busy = true;
            measuredUntil = now;
        }
    }

    /** Records that a request left the queue. */
    void onServed(long cost, boolean moreWaiting, long now) {
        millis += now - measuredUntil;
        tokens += cost;
        measuredUntil = now;
        busy = moreWaiting;
        if (millis > WINDOW_MILLIS) {
            millis /= 2;
            tokens /= 2;
        }
    }

    /** Records that the queue is empty although no request was served. */
    void onEmpty() {
        busy = false;
    }

    /** Returns the rate in tokens per millisecond, 0 if it is unknown. */
    double perMilli(long now) {
        double measuredMillis = millis + (busy ? now - measuredUntil : 0);
        return measuredMillis < MIN_MEASURED_MILLIS ? 0 : Math.max(tokens, 1) / measuredMillis;
    }
}
