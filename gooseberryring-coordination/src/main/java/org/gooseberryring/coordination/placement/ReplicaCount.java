package org.gooseberryring.coordination.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;

/** Counts the replicas of artifacts on usable endpoints. */
public final class ReplicaCount {
    private ReplicaCount() {}

    /** Returns the number of usable endpoints on which each artifact is placed. */
    public static Map<Artifact, Integer> of(FleetConfiguration configuration) {
        Map<Artifact, Integer> counts = new HashMap<>();
        for (Map.Entry<String, List<Artifact>> placed :
                configuration.placements().entrySet()) {
            Endpoint e = configuration.endpoints().get(placed.getKey());
            if (e != null && isUsable(configuration, e)) {
                placed.getValue().forEach(a -> counts.merge(a, 1, Integer::sum));
            }
        }
        return counts;
    }

    /** Returns whether the endpoint is a model engine that accepts new requests. */
    public static boolean isUsable(FleetConfiguration configuration, Endpoint endpoint) {
        FailureDomain domain = configuration.failureDomains().get(endpoint.failureDomain());
        return endpoint.kind() == EndpointKind.MODEL && !endpoint.leaving() && domain != null && domain.in();
    }
}
