package org.gooseberryring.coordination.limit;

/**
 * Keeper of organisation quotas: a host that owns a part of the token buckets.
 *
 * @param incarnation incarnation of the host's process
 * @param failureDomain failure domain of the host
 * @param address peer address; two processes never use it at the same time
 * @param confirmation counter that the keeper increments to show that it still reads the document
 */
public record KeeperEntry(long incarnation, String failureDomain, String address, long confirmation) {}
