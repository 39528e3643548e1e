package org.gooseberryring.coordination.residency;

/** Part of one failure domain in the loads from the weight store that may begin each second. */
final class StoreLoadBudget {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_SAVED = 1;

    private double saved = MAX_SAVED;
    private long savedAt;

    /** Takes a load; returns false if none is left. */
    boolean take(double loadsPerSecond, int failureDomains, long now) {
        saved = Math.min(
                MAX_SAVED, saved + (now - savedAt) * loadsPerSecond / Math.max(1, failureDomains) / MILLIS_PER_SECOND);
        savedAt = now;
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
