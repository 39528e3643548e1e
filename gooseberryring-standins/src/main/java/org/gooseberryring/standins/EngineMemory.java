package org.gooseberryring.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.gooseberryring.state.Artifact;

/** Accelerator memory of an engine stand-in by its own account, including loads in progress. */
final class EngineMemory {
    private final long total;
    private final Map<Artifact, Long> loaded = new TreeMap<>();
    private final Map<Artifact, Long> loading = new HashMap<>();
    private long peak;
    private boolean overcommitted;

    EngineMemory(long total) {
        this.total = total;
    }

    /** Reserves memory for a load and returns false, having noted the overcommitment, if it does not fit. */
    synchronized boolean reserve(Artifact artifact, long bytes) {
        loading.put(artifact, bytes);
        note();
        if (used() > total) {
            loading.remove(artifact);
            return false;
        }
        return true;
    }

    /** Turns a reservation into loaded memory. */
    synchronized void finish(Artifact artifact, long bytes) {
        loading.remove(artifact);
        loaded.put(artifact, bytes);
        note();
    }

    /** Puts an artifact in memory without an order. */
    synchronized void preload(Artifact artifact, long bytes) {
        loaded.put(artifact, bytes);
        note();
    }

    synchronized void unload(Artifact artifact) {
        loaded.remove(artifact);
    }

    synchronized void clear() {
        loaded.clear();
        loading.clear();
    }

    synchronized boolean holds(Artifact artifact) {
        return loaded.containsKey(artifact);
    }

    synchronized boolean loading(Artifact artifact) {
        return loading.containsKey(artifact);
    }

    /** Returns a loaded artifact of a model or adapter, of any version if the version is null, or null. */
    synchronized Artifact find(String model, String adapter, String version) {
        return loaded.keySet().stream()
                .filter(a -> a.model().equals(model) && Objects.equals(a.adapter(), adapter))
                .filter(a -> version == null || a.version().equals(version))
                .findFirst()
                .orElse(null);
    }

    synchronized List<Artifact> loaded() {
        return new ArrayList<>(loaded.keySet());
    }

    synchronized long used() {
        return sum(loaded) + sum(loading);
    }

    synchronized long peak() {
        return peak;
    }

    synchronized boolean overcommitted() {
        return overcommitted;
    }

    private void note() {
        peak = Math.max(peak, used());
        overcommitted |= used() > total;
    }

    private static long sum(Map<Artifact, Long> map) {
        return map.values().stream().mapToLong(Long::longValue).sum();
    }
}
