package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.gooseberryring.coordination.placement.ArtifactCatalog;
import org.gooseberryring.coordination.placement.ReplicaCount;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.SheetRow;

/** What a configuration asks of the endpoints of one failure domain. */
final class DesiredState {
    private final FleetConfiguration configuration;
    private final ArtifactCatalog catalog;
    private final String failureDomain;
    private final Set<Artifact> inSheet = new HashSet<>();

    DesiredState(FleetConfiguration configuration, String failureDomain) {
        this.configuration = configuration;
        this.catalog = new ArtifactCatalog(configuration.models());
        this.failureDomain = failureDomain;
        for (SheetRow row : configuration.sheet()) {
            inSheet.add(row.artifact());
        }
    }

    /** Returns the model engines of the failure domain, in order of their identifiers. */
    Set<String> engines() {
        Set<String> ids = new TreeSet<>();
        for (Endpoint e : configuration.endpoints().values()) {
            if (e.kind() == EndpointKind.MODEL && e.failureDomain().equals(failureDomain)) {
                ids.add(e.id());
            }
        }
        return ids;
    }

    Set<Artifact> wanted(String endpoint) {
        return new TreeSet<>(configuration.placements().getOrDefault(endpoint, List.of()));
    }

    boolean wants(String endpoint, Artifact artifact) {
        return configuration.placements().getOrDefault(endpoint, List.of()).contains(artifact);
    }

    long memoryBytes(String endpoint) {
        return configuration.endpoints().get(endpoint).memoryBytes();
    }

    /** Returns the memory of an artifact in bytes, negative if it is unknown. */
    long bytes(Artifact artifact) {
        return catalog.contains(artifact) ? catalog.bytes(artifact) : -1;
    }

    /** Returns whether the endpoint takes new work. */
    boolean usable(String endpoint) {
        Endpoint e = configuration.endpoints().get(endpoint);
        return e != null && ReplicaCount.isUsable(configuration, e);
    }

    /** Returns whether the endpoint is leaving, so that nothing is loaded on it any more. */
    boolean leaving(String endpoint) {
        Endpoint e = configuration.endpoints().get(endpoint);
        return e == null || e.leaving();
    }

    /** Returns whether the sheet needs the model or adapter of the artifact in any version. */
    boolean needed(Artifact artifact) {
        return inSheet.stream().anyMatch(s -> sameUnit(s, artifact));
    }

    /** Returns whether a replica of one artifact can stand in for another one. */
    boolean standsIn(Artifact replica, Artifact artifact) {
        return replica.equals(artifact)
                || !inSheet.contains(artifact) && inSheet.contains(replica) && sameUnit(replica, artifact);
    }

    /**
     * Returns the artifact of the sheet that stands in for an artifact, preceded by a version of its model if it is an
     * adapter.
     */
    List<Artifact> withBase(Artifact artifact) {
        List<Artifact> result = new ArrayList<>();
        if (artifact.adapter() != null) {
            inSheet.stream()
                    .filter(a -> a.adapter() == null && a.model().equals(artifact.model()))
                    .min(Artifact::compareTo)
                    .ifPresent(result::add);
        }
        inSheet.stream()
                .filter(a -> standsIn(a, artifact))
                .min(Artifact::compareTo)
                .ifPresent(result::add);
        return result;
    }

    /** Returns usable endpoints of other failure domains that are to hold a replica that can stand in. */
    List<String> foreignWitnesses(Artifact artifact) {
        List<String> ids = new ArrayList<>();
        for (Map.Entry<String, List<Artifact>> held : configuration.placements().entrySet()) {
            Endpoint e = configuration.endpoints().get(held.getKey());
            if (e != null
                    && !e.failureDomain().equals(failureDomain)
                    && ReplicaCount.isUsable(configuration, e)
                    && held.getValue().stream().anyMatch(a -> standsIn(a, artifact))) {
                ids.add(e.id());
            }
        }
        return ids;
    }

    private static boolean sameUnit(Artifact a, Artifact b) {
        return a.model().equals(b.model())
                && (a.adapter() == null ? b.adapter() == null : a.adapter().equals(b.adapter()));
    }
}
