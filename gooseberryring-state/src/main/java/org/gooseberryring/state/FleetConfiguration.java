package org.gooseberryring.state;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One revision of the complete configuration.
 *
 * @param revision revision number; a higher one supersedes a lower one
 * @param organisations organisations by identifier
 * @param keys API keys by digest
 * @param models models by identifier
 * @param services plain services by identifier
 * @param failureDomains failure domains by identifier
 * @param endpoints endpoints by identifier
 * @param sheet rows of the operators' sheet in force
 * @param placements desired artifacts by endpoint identifier
 */
public record FleetConfiguration(
        long revision,
        SortedMap<String, Organisation> organisations,
        SortedMap<String, ApiKey> keys,
        SortedMap<String, Model> models,
        SortedMap<String, ServiceRoute> services,
        SortedMap<String, FailureDomain> failureDomains,
        SortedMap<String, Endpoint> endpoints,
        List<SheetRow> sheet,
        SortedMap<String, List<Artifact>> placements) {
    public FleetConfiguration {
        organisations = copy(organisations);
        keys = copy(keys);
        models = copy(models);
        services = copy(services);
        failureDomains = copy(failureDomains);
        endpoints = copy(endpoints);
        sheet = sheet == null ? List.of() : List.copyOf(sheet);
        placements = copy(placements);
    }

    /** Returns the configuration before any change, with revision 0. */
    public static FleetConfiguration empty() {
        return new FleetConfiguration(0, null, null, null, null, null, null, null, null);
    }

    private static <V> SortedMap<String, V> copy(Map<String, V> map) {
        return Collections.unmodifiableSortedMap(map == null ? new TreeMap<>() : new TreeMap<>(map));
    }
}
