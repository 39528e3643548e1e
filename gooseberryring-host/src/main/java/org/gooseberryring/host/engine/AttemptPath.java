package org.gooseberryring.host.engine;

/**
 * How an attempt was sent to its endpoint.
 *
 * @param endpoint identifier of the endpoint
 * @param via host that was to pass the request on, null if this host has sent it itself
 * @param rejected whether that host has rejected the request itself
 */
public record AttemptPath(String endpoint, String via, boolean rejected) {
    /** Returns whether another host was to pass the request on. */
    public boolean isRelayed() {
        return via != null;
    }
}
