package org.gooseberryring.coordination.placement;

/**
 * Settings of the replica policy.
 *
 * @param highWater share of an endpoint's concurrency above which demand counts as overload
 * @param lowWater share of their concurrency below which the other endpoints must stay when an extra replica is removed
 * @param horizonSeconds time over which the benefit of a replica is summed up, in seconds
 * @param moveCost overload that a move must remove to be worth its cost, in requests times seconds
 * @param minAgeMillis minimum age of an extra replica before it is removed, in milliseconds
 * @param movesPerDecision maximum number of replicas added in one decision
 */
public record ReplicaPolicySettings(
        double highWater,
        double lowWater,
        double horizonSeconds,
        double moveCost,
        long minAgeMillis,
        int movesPerDecision) {
    /** Returns the default settings. */
    public static ReplicaPolicySettings defaults() {
        return new ReplicaPolicySettings(0.8, 0.5, 600, 300, 1_200_000, 8);
    }
}
