package org.gooseberryring.coordination.path;

import java.util.Set;

/**
 * Report of a host on the endpoints that it reaches itself.
 *
 * @param failureDomain failure domain of the host
 * @param relayAddress address at which it takes requests of other hosts, as {@code ip:port}; empty if it takes none
 * @param processors processor cores that it may use, 0 if unknown
 * @param isolated whether it reaches none of the endpoints that it has tried
 * @param unreachable endpoints that it does not reach
 */
public record HostReach(
        String failureDomain, String relayAddress, double processors, boolean isolated, Set<String> unreachable) {
    public HostReach {
        unreachable = Set.copyOf(unreachable);
    }

    /** Returns whether the host can pass a request on to an endpoint, as far as it knows. */
    boolean mayReach(String endpoint) {
        return !relayAddress.isEmpty() && !isolated && !unreachable.contains(endpoint);
    }
}
