package org.gooseberryring.coordination.limit;

/**
 * Identity of this host as a keeper.
 *
 * @param host identifier of the host
 * @param incarnation incarnation of the process; a later process of the host has a higher one
 * @param failureDomain failure domain of the host
 * @param address peer address; two processes never use it at the same time
 */
public record KeeperIdentity(String host, long incarnation, String failureDomain, String address) {
    /** Returns this host's entry for the quota document. */
    KeeperEntry entry(long confirmation) {
        return new KeeperEntry(incarnation, failureDomain, address, confirmation);
    }
}
