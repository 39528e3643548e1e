package org.gooseberryring.coordination.direct;

/**
 * Tracks the health of an endpoint from the attempts of this host.
 *
 * <p>An unreachable endpoint is excluded for a time that doubles with each loss. After that, one request at a time
 * probes it. An endpoint that responds with failures gets a penalty in proportion to its failure share.
 */
final class EndpointHealth {
    private static final long MIN_EXCLUSION_MILLIS = 250;
    private static final long MAX_EXCLUSION_MILLIS = 2_000;

    /** Weight of the newest attempt in the failure share. */
    private static final double NEWEST_WEIGHT = 0.2;

    private long lossEpoch;
    private long excludedUntil = Long.MIN_VALUE;
    private long exclusionMillis = MIN_EXCLUSION_MILLIS;
    private boolean probing;
    private double failureShare;

    long lossEpoch() {
        return lossEpoch;
    }

    /** Returns whether another request may be sent, given the number of requests in flight. */
    boolean isUsable(int inFlight, long now) {
        return now >= excludedUntil && (!probing || inFlight == 0);
    }

    /** Returns the share of recent attempts that failed, from 0 to 1. */
    double failureShare() {
        return failureShare;
    }

    /** Excludes the endpoint, unless another loss was recorded after the attempt that saw this one was sent. */
    void onEndpointLost(long epochAtDispatch, long now) {
        if (epochAtDispatch != lossEpoch) {
            return;
        }
        lossEpoch++;
        excludedUntil = now + exclusionMillis;
        exclusionMillis = Math.min(MAX_EXCLUSION_MILLIS, exclusionMillis * 2);
        probing = true;
    }

    /** Clears the state of the endpoint's earlier process. Losses reported later for that process are ignored. */
    void reset() {
        lossEpoch++;
        excludedUntil = Long.MIN_VALUE;
        exclusionMillis = MIN_EXCLUSION_MILLIS;
        probing = false;
        failureShare = 0;
    }

    void onAttemptFailed() {
        failureShare += NEWEST_WEIGHT * (1 - failureShare);
    }

    void onAttemptSucceeded() {
        failureShare -= NEWEST_WEIGHT * failureShare;
        probing = false;
        exclusionMillis = MIN_EXCLUSION_MILLIS;
    }
}
