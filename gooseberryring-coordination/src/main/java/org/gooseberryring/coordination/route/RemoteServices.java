package org.gooseberryring.coordination.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.ServiceRoute;

/** Other failure domains that run plain services, according to the configuration. */
final class RemoteServices {
    private final Map<String, List<RouteChoice>> choices = new HashMap<>();

    /**
     * Applies a configuration.
     *
     * @param configuration configuration in force
     * @param domainsIn other failure domains that accept new requests
     */
    void configured(FleetConfiguration configuration, Set<String> domainsIn) {
        choices.clear();
        for (ServiceRoute service : configuration.services().values()) {
            Set<String> domains = new TreeSet<>();
            for (String id : service.endpoints()) {
                Endpoint endpoint = configuration.endpoints().get(id);
                if (endpoint != null && !endpoint.leaving() && domainsIn.contains(endpoint.failureDomain())) {
                    domains.add(endpoint.failureDomain());
                }
            }
            List<RouteChoice> relays = new ArrayList<>();
            domains.forEach(domain -> relays.add(new RouteChoice(RouteChoice.Kind.RELAY, domain)));
            choices.put(service.id(), relays);
        }
    }

    /** Returns a failure domain that runs the service, or null. */
    RouteChoice choose(String service, Random random) {
        List<RouteChoice> relays = choices.getOrDefault(service, List.of());
        return relays.isEmpty() ? null : relays.get(random.nextInt(relays.size()));
    }
}
