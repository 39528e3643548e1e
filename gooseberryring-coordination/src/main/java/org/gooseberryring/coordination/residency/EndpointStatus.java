package org.gooseberryring.coordination.residency;

import java.util.List;
import java.util.Set;

import org.gooseberryring.state.ResidentModel;

/**
 * Status that an endpoint reports.
 *
 * @param endpoint endpoint that reports
 * @param orderSequence number of orders that the endpoint has accepted since its start
 * @param busy whether the endpoint loads or unloads a model
 * @param models models and adapters that are loaded
 * @param incoming adapters that are loading and already take slots and memory
 * @param copies models of which the endpoint has a copy in memory or on disk
 */
public record EndpointStatus(
        String endpoint,
        long orderSequence,
        boolean busy,
        List<ResidentModel> models,
        List<ResidentModel> incoming,
        Set<String> copies) {
    public EndpointStatus {
        models = List.copyOf(models);
        incoming = List.copyOf(incoming);
        copies = Set.copyOf(copies);
    }
}
