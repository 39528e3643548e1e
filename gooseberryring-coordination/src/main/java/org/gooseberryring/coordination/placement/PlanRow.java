package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.SheetRow;

/** Row of the sheet while a plan is made. */
final class PlanRow {
    private final int index;
    private final Artifact artifact;
    private final long bytes;
    private final Set<String> pins;
    private final List<PlanNode> nodes = new ArrayList<>();
    private final Map<String, Integer> perDomain = new HashMap<>();
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

    /** Asks for at least this number of replicas. */
    void atLeast(int wanted) {
        replicas = Math.max(replicas, wanted);
    }

    boolean complete() {
        return nodes.size() >= replicas;
    }

    List<PlanNode> nodes() {
        return nodes;
    }

    int inDomain(String domain) {
        return perDomain.getOrDefault(domain, 0);
    }

    int domains() {
        return perDomain.size();
    }

    void place(PlanNode node) {
        node.add(artifact, bytes);
        nodes.add(node);
        perDomain.merge(node.domain(), 1, Integer::sum);
    }
}
