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

    /** Returns a share with the same rank and at least the given number of hosts. */
    FleetShare ofAtLeast(int least) {
        return hosts >= least ? this : new FleetShare(rank, least);
    }
}
