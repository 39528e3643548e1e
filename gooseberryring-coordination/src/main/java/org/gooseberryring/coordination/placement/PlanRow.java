package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.SheetRow;

/** Row of the sheet during planning. */
final class PlanRow {
    private final int index;
    private final Artifact artifact;
    private final long bytes;
    private final Set<String> pins;
    private final List<PlanNode> nodes = new ArrayList<>();
    private final Map<String, Integer> replicasByDomain = new HashMap<>();
    private int replicas;

    PlanRow(int index, SheetRow row, long bytes) {
        this.index = index;
        this.artifact = row.artifact();
        this.bytes = bytes;
        this.replicas = Math.max(row.replicas(), row.endpoints().size());
        this.pins = new LinkedHashSet<>(row.endpoints());
    }

    int index() {
        return index;
    }

    Artifact artifact() {
        return artifact;
    }

    long bytes() {
        return bytes;
    }

    Set<String> pins() {
        return pins;
    }

    int replicas() {
        return replicas;
    }

    /** Raises the number of replicas to at least this count. */
    void requireReplicas(int count) {
        replicas = Math.max(replicas, count);
    }

    boolean isComplete() {
        return nodes.size() >= replicas;
    }

    List<PlanNode> nodes() {
        return nodes;
    }

    int replicasInDomain(String domain) {
        return replicasByDomain.getOrDefault(domain, 0);
    }

    int domainCount() {
        return replicasByDomain.size();
    }

    void place(PlanNode node) {
        node.plan(artifact, bytes);
        nodes.add(node);
        replicasByDomain.merge(node.domain(), 1, Integer::sum);
    }
}
