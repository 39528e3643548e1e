package org.gooseberryring.coordination.limit;

/**
 * Host that keeps tokens.
 *
 * @param incarnation incarnation of the host's process
 * @param failureDomain failure domain of the host
 * @param address peer address; two processes never hold it at the same time
 * @param confirmation number that the keeper raises to show that it still follows the document
 */
public record KeeperEntry(long incarnation, String failureDomain, String address, long confirmation) {}
