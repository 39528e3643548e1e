package org.gooseberryring.protocol;

import java.util.List;

import org.gooseberryring.state.Artifact;

/**
 * Load report of a model engine, as {@code GET /v1/load} answers it.
 *
 * @param endpoint identifier of the endpoint
 * @param incarnation number that differs after each restart
 * @param running requests that run
 * @param waiting requests that wait in the engine
 * @param capacity requests that it can run at once now
 * @param loaded artifacts that are loaded
 * @param memoryUsedBytes accelerator memory in use, in bytes
 * @param memoryTotalBytes accelerator memory, in bytes
 * @param role role that the engine has
 * @param ageMillis age of the figures, in milliseconds
 * @param highestTerm highest fencing term seen in an order
 * @param unresolvedOrders identifiers of orders that were accepted and are not finished
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
