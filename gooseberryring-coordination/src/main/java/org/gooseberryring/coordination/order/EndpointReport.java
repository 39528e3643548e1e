package org.gooseberryring.coordination.order;

import java.util.Set;

import org.gooseberryring.state.Artifact;

/**
 * State that an endpoint reports about itself.
 *
 * @param endpoint endpoint identifier
 * @param incarnation number that changes with each restart
 * @param loaded artifacts that are loaded
 * @param pendingOrders identifiers of orders that the endpoint has accepted but not finished, as {@code term-sequence}
 * @param memoryUsedBytes accelerator memory in use, in bytes
 * @param observedAt earliest time that the reported state can describe, in monotonic milliseconds: the time at which
 *     this host requested the report minus the age that the endpoint reports
 */
public record EndpointReport(
        String endpoint,
        long incarnation,
        Set<Artifact> loaded,
        Set<String> pendingOrders,
        long memoryUsedBytes,
        long observedAt) {
    public EndpointReport {
        loaded = Set.copyOf(loaded);
        pendingOrders = Set.copyOf(pendingOrders);
    }
}
