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

/** State that a configuration requires of the endpoints of one failure domain. */
final class DesiredState {
    private final FleetConfiguration configuration;
    private final ArtifactCatalog catalog;
    private final String failureDomain;
    private final Set<Artifact> sheetArtifacts = new HashSet<>();

    DesiredState(FleetConfiguration configuration, String failureDomain) {
        this.configuration = configuration;
        this.catalog = new ArtifactCatalog(configuration.models());
        this.failureDomain = failureDomain;
        for (SheetRow row : configuration.sheet()) {
            sheetArtifacts.add(row.artifact());
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

    Set<Artifact> desiredArtifacts(String endpoint) {
        return new TreeSet<>(configuration.placements().getOrDefault(endpoint, List.of()));
    }

    boolean isDesired(String endpoint, Artifact artifact) {
        return configuration.placements().getOrDefault(endpoint, List.of()).contains(artifact);
    }

    long memoryBytes(String endpoint) {
        return configuration.endpoints().get(endpoint).memoryBytes();
    }

    /** Returns the memory of an artifact in bytes, negative if it is unknown. */
    long bytes(Artifact artifact) {
        return catalog.contains(artifact) ? catalog.bytes(artifact) : -1;
    }

    /** Returns whether the endpoint accepts new work. */
    boolean isUsable(String endpoint) {
        Endpoint e = configuration.endpoints().get(endpoint);
        return e != null && ReplicaCount.isUsable(configuration, e);
    }

    /** Returns whether the endpoint is draining or removed, so that no more artifacts are loaded on it. */
    boolean isLeaving(String endpoint) {
        Endpoint e = configuration.endpoints().get(endpoint);
        return e == null || e.leaving();
    }

    /** Returns whether the sheet needs the model or adapter of the artifact in any version. */
    boolean isNeeded(Artifact artifact) {
        return sheetArtifacts.stream().anyMatch(s -> hasSameModelAndAdapter(s, artifact));
    }

    /** Returns whether a replica of one artifact can substitute for another artifact. */
    boolean canSubstitute(Artifact replica, Artifact artifact) {
        return replica.equals(artifact)
                || !sheetArtifacts.contains(artifact)
                        && sheetArtifacts.contains(replica)
                        && hasSameModelAndAdapter(replica, artifact);
    }

    /**
     * Returns the artifact of the sheet that can substitute for an artifact, preceded by a version of its base model if
     * it is an adapter.
     */
    List<Artifact> withBaseModel(Artifact artifact) {
        List<Artifact> result = new ArrayList<>();
        if (artifact.adapter() != null) {
            sheetArtifacts.stream()
                    .filter(a -> a.adapter() == null && a.model().equals(artifact.model()))
                    .min(Artifact::compareTo)
                    .ifPresent(result::add);
        }
        sheetArtifacts.stream()
                .filter(a -> canSubstitute(a, artifact))
                .min(Artifact::compareTo)
                .ifPresent(result::add);
        return result;
    }

    /** Returns usable endpoints of other failure domains whose placements contain a replica that can substitute. */
    List<String> remoteWitnesses(Artifact artifact) {
        List<String> ids = new ArrayList<>();
        for (Map.Entry<String, List<Artifact>> placement :
                configuration.placements().entrySet()) {
            Endpoint e = configuration.endpoints().get(placement.getKey());
            if (e != null
                    && !e.failureDomain().equals(failureDomain)
                    && ReplicaCount.isUsable(configuration, e)
                    && placement.getValue().stream().anyMatch(a -> canSubstitute(a, artifact))) {
                ids.add(e.id());
            }
        }
        return ids;
    }

    private static boolean hasSameModelAndAdapter(Artifact a, Artifact b) {
        return a.model().equals(b.model())
                && (a.adapter() == null ? b.adapter() == null : a.adapter().equals(b.adapter()));
    }
}
