package org.gooseberryring.coordination.limit;

/**
 * Settings of the organisation limits.
 *
 * @param batchLifetimeMillis milliseconds for which a batch may be spent, from the time of its request
 * @param reclaimAfterMillis age of a keeper's confirmation after which its quotas may be given to others
 * @param keepersPerDomain keepers of an organisation in each failure domain
 * @param maxPendingRequests pending reservations of one organisation on one host
 * @param askTimeoutMillis milliseconds after which the next keeper is asked
 * @param roundIntervalMillis least time between two rounds over all keepers that found too few tokens
 * @param stockMillis time whose demand a wallet holds in advance
 */
public record LimitSettings(
        long batchLifetimeMillis,
        long reclaimAfterMillis,
        int keepersPerDomain,
        int maxPendingRequests,
        long askTimeoutMillis,
        long roundIntervalMillis,
        long stockMillis) {
    /** Margin for clocks of different speed, in percent. */
    static final int CLOCK_MARGIN_PERCENT = 10;

    public LimitSettings {
        if (batchLifetimeMillis <= 0 || reclaimAfterMillis <= 2 * batchLifetimeMillis) {
            throw new IllegalArgumentException("reclaimAfterMillis " + reclaimAfterMillis
                    + " must be more than twice batchLifetimeMillis " + batchLifetimeMillis);
        }
    }

    /**
     * Returns the defaults. A dead keeper's successor waits for one batch lifetime, and a full bucket that is
     * outstanding in the wallets of dead hosts comes back only after it, so the lifetime is kept at a few seconds.
     */
    public static LimitSettings defaults() {
        return new LimitSettings(5_000, 14_400_000, 2, 2_000, 100, 20, 100);
    }

    /** Returns the time for which a wallet spends a batch, shortened by the clock margin. */
    long spendMillis(long lifetimeMillis) {
        return lifetimeMillis - lifetimeMillis * CLOCK_MARGIN_PERCENT / 100;
    }

    /** Returns the age of its own confirmation at which a keeper stops, so that its last batches end in time. */
    long stopAfterMillis() {
        return reclaimAfterMillis - reclaimAfterMillis * CLOCK_MARGIN_PERCENT / 100 - batchLifetimeMillis;
    }
}
