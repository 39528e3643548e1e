package org.gooseberryring.coordination.limit;

/**
 * This host as a keeper.
 *
 * @param host identifier of the host
 * @param incarnation incarnation of the process; a later process of the host has a higher one
 * @param failureDomain failure domain of the host
 * @param address peer address; two processes never hold it at the same time
 */
public record KeeperIdentity(String host, long incarnation, String failureDomain, String address) {
    /** Returns the entry of the document for this host. */
    KeeperEntry entry(long confirmation) {
        return new KeeperEntry(incarnation, failureDomain, address, confirmation);
    }
}
