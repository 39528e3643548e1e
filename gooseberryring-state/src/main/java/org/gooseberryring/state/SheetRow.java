package org.gooseberryring.state;

import java.util.List;

/**
 * Row of the operators' sheet, which defines the minimum number of replicas of an artifact.
 *
 * @param artifact artifact to keep loaded
 * @param replicas minimum number of endpoints that have it loaded, at least 1
 * @param endpoints endpoints that must load it; empty to let the planner choose
 */
public record SheetRow(Artifact artifact, int replicas, List<String> endpoints) {
    public SheetRow {
        endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
    }
}
