package org.gooseberryring.coordination.order;

import java.util.Set;

import org.gooseberryring.state.Artifact;

/**
 * What an endpoint reports about itself.
 *
 * @param endpoint endpoint identifier
 * @param incarnation number that differs after each restart
 * @param loaded artifacts that are loaded
 * @param pendingOrders identifiers of orders that were accepted and are not finished, as {@code term-sequence}
 * @param memoryUsedBytes accelerator memory in use, in bytes
 * @param observedAt latest time at which the report is certainly not older than the state it describes: the time at
 *     which this host asked for it minus the age that the endpoint states, monotonic milliseconds
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
