package org.gooseberryring.state;

import java.util.List;

/**
 * Row of the operators' sheet: an artifact and how many replicas of it to keep.
 *
 * @param artifact artifact to keep loaded
 * @param replicas smallest number of endpoints that hold it, at least 1
 * @param endpoints endpoints that must hold it; empty to let the planner choose
 */
public record SheetRow(Artifact artifact, int replicas, List<String> endpoints) {
    public SheetRow {
        endpoints = endpoints == null ? List.of() : List.copyOf(endpoints);
    }
}
