package org.gooseberryring.coordination.direct;

/**
 * Judges from the attempts of this host whether an endpoint can be used.
 *
 * <p>An endpoint that cannot be reached is left out for a time that doubles with each failure; then one request at a
 * time tries it. An endpoint that answers but fails is avoided in proportion to its failures.
 */
final class EndpointHealth {
    private static final long MIN_OUT_MILLIS = 250;
    private static final long MAX_OUT_MILLIS = 2_000;

    /** Weight of the newest attempt in the share of failures. */
    private static final double NEWEST_WEIGHT = 0.2;

    private long lossEpoch;
    private long outUntil = Long.MIN_VALUE;
    private long outMillis = MIN_OUT_MILLIS;
    private boolean trial;
    private double failureShare;

    long lossEpoch() {
        return lossEpoch;
    }

    /** Returns whether requests may be sent, given the number of those in flight. */
    boolean usable(int inFlight, long now) {
        return now >= outUntil && (!trial || inFlight == 0);
    }

    /** Returns the share of recent attempts that failed, from 0 to 1. */
    double failureShare() {
        return failureShare;
    }

    /** Takes the endpoint out, unless the loss was known when the attempt that saw it was sent. */
    void lost(long epochAtDispatch, long now) {
        if (epochAtDispatch != lossEpoch) {
            return;
        }
        lossEpoch++;
        outUntil = now + outMillis;
        outMillis = Math.min(MAX_OUT_MILLIS, outMillis * 2);
        trial = true;
    }

    /** Forgets what an earlier process of the endpoint has done; a loss that is seen later is not the new one's. */
    void restarted() {
        lossEpoch++;
        outUntil = Long.MIN_VALUE;
        outMillis = MIN_OUT_MILLIS;
        trial = false;
        failureShare = 0;
    }

    void failed() {
        failureShare += NEWEST_WEIGHT * (1 - failureShare);
    }

    void succeeded() {
        failureShare -= NEWEST_WEIGHT * failureShare;
        trial = false;
        outMillis = MIN_OUT_MILLIS;
    }
}
