package org.gooseberryring.protocol;

/**
 * Entry of the platform's host list, as {@code GET /v1/hosts} answers it.
 *
 * @param id identifier of the host
 * @param failureDomain failure domain of the host
 * @param peerAddress address of its peer links, {@code ip:port}
 * @param relayAddress address that takes requests from other failure domains, {@code ip:port}
 * @param state {@code live} or {@code leaving}
 */
public record HostEntry(String id, String failureDomain, String peerAddress, String relayAddress, String state) {}
