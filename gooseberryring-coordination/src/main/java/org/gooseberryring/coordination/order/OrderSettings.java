package org.gooseberryring.coordination.order;

/**
 * Settings of the controller of a failure domain.
 *
 * @param leaseMillis time without a renewal after which another host may acquire the lease, in milliseconds
 * @param maxOrderDelayMillis longest time from the update of the ledger until an order has arrived or can no longer
 *     arrive, in milliseconds
 * @param sendWindowMillis longest time from the request to update the ledger until the order is sent, in milliseconds
 * @param retryIntervalMillis time after which an order without visible effect is replaced by a new one, in milliseconds
 * @param reportIntervalMillis time between two report requests to an endpoint, in milliseconds
 * @param drainMillis time for which an artifact stays loaded after its removal from the placements, in milliseconds
 * @param weightLoadsPerSecond loads per second that the weight store accepts from all failure domains together
 * @param weightConcurrency concurrent loads that the weight store accepts from all failure domains together
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

    /** Returns the settings of a normal deployment for the limits of a weight store. */
    public static OrderSettings forWeightStore(double loadsPerSecond, int concurrency) {
        return new OrderSettings(10_000, 120_000, 5_000, 30_000, 1_000, 30_000, loadsPerSecond, concurrency);
    }

    /** Returns the minimum time between two load starts in one slot of the weight store, in milliseconds. */
    public long slotIntervalMillis() {
        return (long) Math.ceil(MILLIS_PER_SECOND * weightConcurrency / weightLoadsPerSecond);
    }
}
