package org.gooseberryring.coordination.placement;

/**
 * Speed of the weight store.
 *
 * @param loadsPerSecond loads that it can start per second
 * @param concurrency concurrent loads that it can serve at full speed
 * @param loadMillis expected duration of one load in milliseconds
 */
public record WeightStoreRate(double loadsPerSecond, int concurrency, long loadMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the interval between two loads in one of the concurrent slots in milliseconds. */
    public long slotIntervalMillis() {
        return (long) Math.ceil(MILLIS_PER_SECOND * concurrency / loadsPerSecond);
    }
}
