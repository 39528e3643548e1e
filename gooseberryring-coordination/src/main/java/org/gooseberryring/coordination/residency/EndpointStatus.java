package org.gooseberryring.coordination.residency;

import java.util.List;
import java.util.Set;

import org.gooseberryring.state.ResidentModel;

/**
 * What an endpoint reports of itself.
 *
 * @param endpoint endpoint that reports
 * @param orderSequence number of orders that it has accepted since its start
 * @param busy whether it loads or unloads a model
 * @param models models and adapters that it holds
 * @param incoming adapters on their way to it, which take places and memory already
 * @param copies models of which it has a copy in memory or on disk
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
