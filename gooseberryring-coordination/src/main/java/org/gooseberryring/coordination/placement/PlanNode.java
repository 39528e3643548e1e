package org.gooseberryring.coordination.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;

/** Endpoint during planning: its present artifacts, its planned artifacts and its free memory. */
final class PlanNode {
    private final Endpoint endpoint;
    private final Set<Artifact> present;
    private final TreeSet<Artifact> planned = new TreeSet<>();
    private final Map<String, Integer> versionsOfModel = new HashMap<>();
    private long free;
    private long unloadBytes;

    PlanNode(Endpoint endpoint, List<Artifact> present, ArtifactCatalog catalog) {
        this.endpoint = endpoint;
        this.present = new HashSet<>(present);
        this.free = endpoint.memoryBytes();
        this.unloadBytes = this.present.stream().mapToLong(catalog::bytes).sum();
    }

    String id() {
        return endpoint.id();
    }

    String domain() {
        return endpoint.failureDomain();
    }

    long memory() {
        return endpoint.memoryBytes();
    }

    long free() {
        return free;
    }

    /** Excludes memory from the plan, so that a move can load an artifact before it unloads another. */
    void reserve(long bytes) {
        free -= bytes;
    }

    Set<Artifact> present() {
        return present;
    }

    Set<Artifact> planned() {
        return planned;
    }

    boolean hasPlanned(Artifact artifact) {
        return planned.contains(artifact);
    }

    boolean hasPlannedModel(String model) {
        return versionsOfModel.containsKey(model);
    }

    boolean fits(long bytes) {
        return bytes <= free;
    }

    /** Returns whether an artifact of this size fits in addition to all present artifacts that are not planned. */
    boolean fitsBeforeUnloads(long bytes) {
        return bytes <= free - unloadBytes;
    }

    void plan(Artifact artifact, long bytes) {
        planned.add(artifact);
        unloadBytes -= present.contains(artifact) ? bytes : 0;
        free -= bytes;
        if (artifact.adapter() == null) {
            versionsOfModel.merge(artifact.model(), 1, Integer::sum);
        }
    }
}
