package org.gooseberryring.coordination.crash;

import java.util.Set;

import org.gooseberryring.state.EndpointProcess;

/**
 * Crash of an endpoint as evidence against the requests that it was running.
 *
 * @param process process that crashed
 * @param requests whole requests that it was running and that no endpoint has answered since
 * @param at time of the crash, in milliseconds of the monotonic clock of this host
 */
public record StoredCrash(EndpointProcess process, Set<RequestPart> requests, long at) {
    public StoredCrash {
        requests = Set.copyOf(requests);
    }
}
