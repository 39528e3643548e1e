package org.gooseberryring.host.entry;

/**
 * What an entry host registers of itself in the platform's store.
 *
 * @param id identifier of the host
 * @param failureDomain failure domain that it lies in
 * @param peerAddress address of its peer links, {@code ip:port}
 * @param processors processor cores that it may use, 0 if unknown
 */
public record HostRegistration(String id, String failureDomain, String peerAddress, double processors) {}
