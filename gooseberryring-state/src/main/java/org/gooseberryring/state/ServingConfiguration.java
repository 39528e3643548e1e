package org.gooseberryring.state;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One version of the configuration by the operators of a deployment.
 *
 * @param version version number; a higher one supersedes a lower one
 * @param routes table of the routes for requests
 * @param services services by identifier
 * @param organisations terms of the organisations by identifier
 * @param keys API keys by digest
 * @param limits limits for requests of callers
 */
public record ServingConfiguration(
        long version,
        RouteTable routes,
        SortedMap<String, ServiceProfile> services,
        SortedMap<String, OrganisationTerms> organisations,
        Map<String, ApiKey> keys,
        RequestLimits limits) {
    private static final RequestLimits DEFAULT_LIMITS = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

    public ServingConfiguration {
        services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
        organisations = Collections.unmodifiableSortedMap(new TreeMap<>(organisations));
        keys = Map.copyOf(keys);
    }

    /** Returns the configuration of a host that has not received one yet, with version 0. */
    public static ServingConfiguration none() {
        return new ServingConfiguration(
                0, new RouteTable(List.of()), new TreeMap<>(), new TreeMap<>(), Map.of(), DEFAULT_LIMITS);
    }

    /** Returns whether a configuration has been received. */
    public boolean known() {
        return version > 0;
    }
}
