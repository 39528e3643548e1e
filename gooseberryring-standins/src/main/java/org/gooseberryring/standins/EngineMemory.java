package org.gooseberryring.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.gooseberryring.state.Artifact;

/** Accounts for the accelerator memory of an engine stand-in, including loads in progress. */
final class EngineMemory {
    private final long totalBytes;
    private final Map<Artifact, Long> loaded = new TreeMap<>();
    private final Map<Artifact, Long> loading = new HashMap<>();
    private long peakBytes;
    private boolean overcommitted;

    EngineMemory(long totalBytes) {
        this.totalBytes = totalBytes;
    }

    /** Reserves memory for a load. If the load does not fit, records an overcommitment and returns false. */
    synchronized boolean reserve(Artifact artifact, long bytes) {
        loading.put(artifact, bytes);
        updatePeak();
        if (usedBytes() > totalBytes) {
            loading.remove(artifact);
            return false;
        }
        return true;
    }

    /** Converts the reservation of a load into memory of a loaded artifact. */
    synchronized void finishLoad(Artifact artifact, long bytes) {
        loading.remove(artifact);
        loaded.put(artifact, bytes);
        updatePeak();
    }

    /** Adds a loaded artifact without a reservation. */
    synchronized void preload(Artifact artifact, long bytes) {
        loaded.put(artifact, bytes);
        updatePeak();
    }

    synchronized void unload(Artifact artifact) {
        loaded.remove(artifact);
    }

    synchronized void clear() {
        loaded.clear();
        loading.clear();
    }

    synchronized boolean isLoaded(Artifact artifact) {
        return loaded.containsKey(artifact);
    }

    synchronized boolean isLoading(Artifact artifact) {
        return loading.containsKey(artifact);
    }

    /** Returns the loaded artifact of a model or adapter, or null. A version of null matches any version. */
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

    synchronized long usedBytes() {
        return sum(loaded) + sum(loading);
    }

    synchronized long peakBytes() {
        return peakBytes;
    }

    synchronized boolean overcommitted() {
        return overcommitted;
    }

    private void updatePeak() {
        peakBytes = Math.max(peakBytes, usedBytes());
        overcommitted |= usedBytes() > totalBytes;
    }

    private static long sum(Map<Artifact, Long> bytesByArtifact) {
        return bytesByArtifact.values().stream().mapToLong(Long::longValue).sum();
    }
}
