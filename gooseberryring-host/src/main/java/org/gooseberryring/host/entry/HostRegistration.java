package org.gooseberryring.host.entry;

/**
 * Registration of an entry host in the platform's store.
 *
 * @param id identifier of the host
 * @param failureDomain failure domain of the host
 * @param peerAddress address for links from other hosts, {@code ip:port}
 * @param processors processor cores that it may use, 0 if unknown
 */
public record HostRegistration(String id, String failureDomain, String peerAddress, double processors) {}
