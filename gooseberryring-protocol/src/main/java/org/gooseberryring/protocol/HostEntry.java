package org.gooseberryring.protocol;

/**
 * Entry of the platform's host list, as returned by {@code GET /v1/hosts}.
 *
 * @param id identifier of the host
 * @param failureDomain failure domain of the host
 * @param peerAddress address for peer links, {@code ip:port}
 * @param relayAddress address for requests from other failure domains, {@code ip:port}
 * @param state {@code live} or {@code leaving}
 */
public record HostEntry(String id, String failureDomain, String peerAddress, String relayAddress, String state) {}
