package org.gooseberryring.coordination.placement;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.gooseberryring.state.Artifact;

/**
 * Result of planning.
 *
 * @param placements artifacts by endpoint identifier, each list sorted
 * @param faults rows that do not fit, empty if the complete sheet fits
 * @param loads number of planned replicas that are not in the present placements
 * @param unloads number of present replicas that are not in the plan
 * @param reserveKept whether every failure domain can load its largest model before it unloads another
 */
public record Plan(
        SortedMap<String, List<Artifact>> placements,
        List<RowFault> faults,
        int loads,
        int unloads,
        boolean reserveKept) {
    public Plan {
        placements = Collections.unmodifiableSortedMap(new TreeMap<>(placements));
        faults = List.copyOf(faults);
    }

    /** Returns whether every row of the sheet is placed. */
    public boolean fits() {
        return faults.isEmpty();
    }
}
