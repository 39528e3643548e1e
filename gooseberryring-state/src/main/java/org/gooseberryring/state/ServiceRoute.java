package org.gooseberryring.state;

import java.util.List;

/**
 * Plain service to which requests are routed, in addition to the models.
 *
 * @param id identifier, also the first path segment after {@code /services/}
 * @param endpoints identifiers of the endpoints that run it
 * @param openPaths path prefixes below the service that are accessible without an API key
 * @param idempotentPaths path prefixes whose requests may be repeated regardless of their method
 */
public record ServiceRoute(String id, List<String> endpoints, List<String> openPaths, List<String> idempotentPaths) {
    public ServiceRoute {
        endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
        openPaths = openPaths == null ? List.of() : List.copyOf(openPaths);
        idempotentPaths = idempotentPaths == null ? List.of() : List.copyOf(idempotentPaths);
    }
}
