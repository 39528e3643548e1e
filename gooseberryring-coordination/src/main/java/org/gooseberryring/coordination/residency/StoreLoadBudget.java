package org.gooseberryring.coordination.residency;

/** Limits the loads from the weight store that one failure domain starts, as its share of the total rate. */
final class StoreLoadBudget {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_AVAILABLE = 1;

    private double available = MAX_AVAILABLE;
    private long updatedAt;

    /** Acquires a load from the budget; returns false if the budget is used up. */
    boolean tryAcquire(double loadsPerSecond, int failureDomains, long now) {
        if (available(loadsPerSecond, failureDomains, now) < 1) {
            return false;
        }
        available--;
        return true;
    }

    /** Returns the number of loads that can be acquired now. */
    int available(double loadsPerSecond, int failureDomains, long now) {
        available = Math.min(
                MAX_AVAILABLE,
                available + (now - updatedAt) * loadsPerSecond / Math.max(1, failureDomains) / MILLIS_PER_SECOND);
        updatedAt = now;
        return (int) available;
    }
}
