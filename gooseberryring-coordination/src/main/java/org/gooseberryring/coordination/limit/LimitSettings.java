package org.gooseberryring.coordination.limit;

/**
 * Settings of the organisation limits.
 *
 * @param batchLifetimeMillis milliseconds for which a batch may be spent, counted from the time of its request
 * @param reclaimAfterMillis age of a keeper's confirmation after which its quotas may be reassigned to other keepers
 * @param keepersPerDomain keepers of an organisation in each failure domain
 * @param maxPendingRequests pending reservations of one organisation on one host
 * @param askTimeoutMillis milliseconds to wait for a reply before the next keeper is asked
 * @param roundIntervalMillis minimum time after a round over all keepers that collected too few tokens until the next
 *     round
 * @param stockMillis time span whose expected demand the token pool fetches in advance
 */
public record LimitSettings(
        long batchLifetimeMillis,
        long reclaimAfterMillis,
        int keepersPerDomain,
        int maxPendingRequests,
        long askTimeoutMillis,
        long roundIntervalMillis,
        long stockMillis) {
    /** Margin for clocks that run at different speeds, in percent. */
    static final int CLOCK_MARGIN_PERCENT = 10;

    public LimitSettings {
        if (batchLifetimeMillis <= 0 || reclaimAfterMillis <= 2 * batchLifetimeMillis) {
            throw new IllegalArgumentException("reclaimAfterMillis " + reclaimAfterMillis
                    + " must be more than twice batchLifetimeMillis " + batchLifetimeMillis);
        }
    }

    /**
     * Returns the default settings. The batch lifetime is a few seconds, because the successor of a dead keeper waits
     * for one lifetime, and tokens that are outstanding at dead hosts, up to a full bucket, can be granted again only
     * after it.
     */
    public static LimitSettings defaults() {
        return new LimitSettings(5_000, 14_400_000, 2, 2_000, 100, 20, 100);
    }

    /** Returns the time for which a token pool spends a batch, reduced by the clock margin. */
    long spendMillis(long lifetimeMillis) {
        return lifetimeMillis - lifetimeMillis * CLOCK_MARGIN_PERCENT / 100;
    }

    /**
     * Returns the age of its own confirmation at which a keeper stops granting, so that its last batches expire before
     * its quotas are reclaimed.
     */
    long stopAfterMillis() {
        return reclaimAfterMillis - reclaimAfterMillis * CLOCK_MARGIN_PERCENT / 100 - batchLifetimeMillis;
    }
}
