package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.List;

/** Rows of one model: its versions and its adapters. */
final class PlanUnit {
    private final String model;
    private final List<PlanRow> versions = new ArrayList<>();
    private final List<PlanRow> adapters = new ArrayList<>();

    PlanUnit(String model) {
        this.model = model;
    }

    String model() {
        return model;
    }

    List<PlanRow> versions() {
        return versions;
    }

    List<PlanRow> adapters() {
        return adapters;
    }

    void add(PlanRow row) {
        (row.artifact().adapter() == null ? versions : adapters).add(row);
    }

    /** Makes the model follow its adapters: as many replicas as the most frequent one, and on every pinned endpoint. */
    void matchAdapters() {
        if (versions.isEmpty()) {
            return;
        }
        PlanRow first = versions.get(0);
        for (PlanRow adapter : adapters) {
            for (String pin : adapter.pins()) {
                if (versions.stream().noneMatch(v -> v.pins().contains(pin))) {
                    first.pins().add(pin);
                }
            }
            first.requireReplicas(adapter.replicas());
        }
        first.requireReplicas(first.pins().size());
    }

    /** Returns the memory of the largest version with all its adapters, in bytes. */
    long bytes() {
        return versions.stream().mapToLong(PlanRow::bytes).max().orElse(0)
                + adapters.stream().mapToLong(PlanRow::bytes).sum();
    }

    /** Returns the memory of the adapters that still lack replicas, in bytes. */
    long pendingAdapterBytes() {
        long sum = 0;
        for (PlanRow adapter : adapters) {
            sum += adapter.isComplete() ? 0 : adapter.bytes();
        }
        return sum;
    }
}
