package org.gooseberryring.coordination.placement;

/**
 * Settings of the replica policy.
 *
 * @param highWater share of an endpoint's concurrency above which demand counts as overload
 * @param lowWater share of an endpoint's concurrency that the others may reach after an extra replica is taken away
 * @param horizonSeconds time over which the benefit of a replica is counted
 * @param moveCost requests times seconds that a move must save to be worth it
 * @param minAgeMillis age that an extra replica must reach before it is taken away
 * @param movesPerDecision largest number of replicas added in one decision
 */
public record ReplicaPolicySettings(
        double highWater,
        double lowWater,
        double horizonSeconds,
        double moveCost,
        long minAgeMillis,
        int movesPerDecision) {
    /** Returns the settings of a normal installation. */
    public static ReplicaPolicySettings defaults() {
        return new ReplicaPolicySettings(0.8, 0.5, 600, 300, 1_200_000, 8);
    }
}
