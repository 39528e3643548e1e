package org.gooseberryring.coordination.direct;

/**
 * Place of a host among all hosts.
 *
 * @param rank number of hosts that come before it in an order that all hosts agree on
 * @param hosts number of hosts, this one included
 */
public record FleetShare(int rank, int hosts) {
    /** Place of a host that knows no other one. */
    public static final FleetShare ALONE = new FleetShare(0, 1);

    /** Returns the same place among at least the given number of hosts. */
    FleetShare ofAtLeast(int least) {
        return hosts >= least ? this : new FleetShare(rank, least);
    }
}
