package org.gooseberryring.protocol;

import java.util.List;

import org.gooseberryring.state.Artifact;

/**
 * Load report of a model engine, as returned by {@code GET /v1/load}.
 *
 * @param endpoint identifier of the endpoint
 * @param incarnation number that changes with each restart
 * @param running number of running requests
 * @param waiting number of requests queued in the engine
 * @param capacity number of requests that it can currently run concurrently
 * @param loaded artifacts that are loaded
 * @param memoryUsedBytes accelerator memory in use, in bytes
 * @param memoryTotalBytes total accelerator memory, in bytes
 * @param role current role of the engine
 * @param ageMillis age of the reported values, in milliseconds
 * @param highestTerm highest fencing number received in an order
 * @param unresolvedOrders identifiers of orders that were accepted and are not completed
 */
public record LoadReport(
        String endpoint,
        long incarnation,
        int running,
        int waiting,
        int capacity,
        List<Artifact> loaded,
        long memoryUsedBytes,
        long memoryTotalBytes,
        String role,
        long ageMillis,
        long highestTerm,
        List<String> unresolvedOrders) {
    public LoadReport {
        loaded = loaded == null ? List.of() : List.copyOf(loaded);
        unresolvedOrders = unresolvedOrders == null ? List.of() : List.copyOf(unresolvedOrders);
    }
}
