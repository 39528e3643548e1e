package org.gooseberryring.coordination.order;

/**
 * Settings of the controller of a failure domain.
 *
 * @param leaseMillis time without a renewal after which another host takes over
 * @param longestOrderDelayMillis longest time from the update of the ledger until an order arrives or never will
 * @param sendWindowMillis longest time from the request to update the ledger until the order is sent
 * @param retryMillis time after which an order that shows no effect is replaced by a new one
 * @param reportMillis time between two reports of an endpoint
 * @param drainMillis time for which an artifact stays loaded after it left the placements
 * @param weightLoadsPerSecond loads a second that the weight store takes from all failure domains together
 * @param weightConcurrency loads that the weight store takes at once from all failure domains together
 */
public record OrderSettings(
        long leaseMillis,
        long maxOrderDelayMillis,
        long sendWindowMillis,
        long retryIntervalMillis,
        long reportIntervalMillis,
        long drainMillis,
        double weightLoadsPerSecond,
        int weightConcurrency) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the settings of a normal installation for a weight store. */
    public static OrderSettings forWeightStore(double loadsPerSecond, int concurrency) {
        return new OrderSettings(10_000, 120_000, 5_000, 30_000, 1_000, 30_000, loadsPerSecond, concurrency);
    }

    /** Returns the time between two starts in one slot of the weight store, in milliseconds. */
    public long slotIntervalMillis() {
        return (long) Math.ceil(MILLIS_PER_SECOND * weightConcurrency / weightLoadsPerSecond);
    }
}
