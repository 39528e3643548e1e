package org.gooseberryring.coordination.placement;

import java.util.ArrayList;
import java.util.List;

/** Rows of the sheet for one model: its versions and its adapters. */
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

    /** Requires the model on every endpoint that an adapter is pinned to, and as many replicas as each adapter. */
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

    /** Returns the memory of the adapters with missing replicas, in bytes. */
    long pendingAdapterBytes() {
        long sum = 0;
        for (PlanRow adapter : adapters) {
            sum += adapter.isComplete() ? 0 : adapter.bytes();
        }
        return sum;
    }
}
