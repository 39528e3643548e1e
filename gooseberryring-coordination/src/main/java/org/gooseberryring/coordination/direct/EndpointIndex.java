package org.gooseberryring.coordination.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Endpoints by service. */
final class EndpointIndex {
    private final Map<String, List<DirectEndpoint>> byService = new HashMap<>();

    /** Replaces all endpoints. */
    void set(Collection<DirectEndpoint> endpoints) {
        byService.clear();
        for (DirectEndpoint endpoint : endpoints) {
            byService
                    .computeIfAbsent(endpoint.registration().service(), service -> new ArrayList<>())
                    .add(endpoint);
        }
    }

    /** Returns the endpoints of a service that may get new requests. */
    List<DirectEndpoint> inService(String service, Set<String> domainsOut) {
        List<DirectEndpoint> inService = new ArrayList<>();
        for (DirectEndpoint endpoint : byService.getOrDefault(service, List.of())) {
            if (endpoint.isInService(domainsOut)) {
                inService.add(endpoint);
            }
        }
        return inService;
    }
}
