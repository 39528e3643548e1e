package org.gooseberryring.coordination.residency;

/** Part of one failure domain in the loads from the weight store that may begin each second. */
final class StoreLoadBudget {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_AVAILABLE = 1;

    private double available = MAX_AVAILABLE;
    private long updatedAt;

    /** Takes a load; returns false if none is left. */
    boolean tryAcquire(double loadsPerSecond, int failureDomains, long now) {
        available = Math.min(
                MAX_AVAILABLE,
                available + (now - updatedAt) * loadsPerSecond / Math.max(1, failureDomains) / MILLIS_PER_SECOND);
        updatedAt = now;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
