package org.gooseberryring.coordination.direct;

/**
 * Rank of a host and the number of hosts.
 *
 * @param rank number of hosts before it in an order that is the same on all hosts
 * @param hosts number of hosts, this one included
 */
public record FleetShare(int rank, int hosts) {
    /** Share of a host that knows no other host. */
    public static final FleetShare ALONE = new FleetShare(0, 1);

    /**
     * Minimum number of hosts to divide the rate of a cold endpoint by, so that a new host does not use the complete
     * rate.
     */
    private static final int MIN_COLD_SHARES = 8;

    /** Returns the share of the rate of a cold endpoint. */
    FleetShare ofColdEndpoint() {
        return hosts >= MIN_COLD_SHARES ? this : new FleetShare(rank, MIN_COLD_SHARES);
    }
}
