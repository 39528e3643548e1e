package org.gooseberryring.coordination.order;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.gooseberryring.state.Artifact;

/**
 * Temporary replicas that let a swap proceed if there is too little memory to load before unloading.
 *
 * <p>A swap is blocked if an endpoint has too little free memory for its desired artifacts, and the artifacts to unload
 * have no other replica. These are then loaded temporarily on a third endpoint. Cancelling this is always safe, because
 * a temporary replica is only unloaded once another one is confirmed.
 */
final class TemporaryReplicas {
    private final ControllerTerm term;
    private final Map<String, Set<Artifact>> temporaryArtifacts = new TreeMap<>();
    private final Set<Artifact> displaced = new HashSet<>();
    private String blockedEndpoint;
    private long lastProgressAt;

    TemporaryReplicas(ControllerTerm term) {
        this.term = term;
    }

    /** Returns the artifacts that the endpoint should have loaded temporarily. */
    Set<Artifact> temporaryArtifacts(String endpoint) {
        return temporaryArtifacts.getOrDefault(endpoint, Set.of());
    }

    /** Returns whether the artifact must be unloaded temporarily, even if it is in the placements of the endpoint. */
    boolean isDisplaced(String endpoint, Artifact artifact) {
        return endpoint.equals(blockedEndpoint) && displaced.contains(artifact);
    }

    void clear(long now) {
        temporaryArtifacts.clear();
        displaced.clear();
        blockedEndpoint = null;
        lastProgressAt = now;
    }

    /**
     * Detects a blocked swap and assigns temporary replicas for it.
     *
     * @param busy whether any load or unload is in progress
     */
    void onTick(boolean busy, long now) {
        if (busy) {
            lastProgressAt = now;
        }
        if (blockedEndpoint != null && !isBlocked(term.trackers().get(blockedEndpoint))) {
            clear(now);
        }
        OrderSettings settings = term.settings();
        long blockedTimeoutMillis =
                settings.maxOrderDelayMillis() + settings.retryIntervalMillis() + settings.drainMillis();
        if (now - lastProgressAt < blockedTimeoutMillis) {
            return;
        }
        String previous = blockedEndpoint;
        clear(now);
        // Starts after the previous endpoint, so that one that stays blocked does not delay the others.
        Map<String, EndpointTracker> remaining = new TreeMap<>(term.trackers());
        if (previous != null) {
            remaining.keySet().removeIf(id -> id.compareTo(previous) <= 0);
        }
        if (!resolveFirstBlocked(remaining) && previous != null) {
            resolveFirstBlocked(term.trackers());
        }
    }

    private boolean resolveFirstBlocked(Map<String, EndpointTracker> trackers) {
        for (EndpointTracker tracker : trackers.values()) {
            if (isBlocked(tracker) && addReplicas(tracker)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the endpoint lacks a desired artifact that does not fit into its free memory. */
    private boolean isBlocked(EndpointTracker tracker) {
        if (tracker == null || !tracker.isUsable() || !term.desired().isUsable(tracker.endpoint())) {
            return tracker != null && tracker.endpoint().equals(blockedEndpoint);
        }
        DesiredState desired = term.desired();
        if (tracker.endpoint().equals(blockedEndpoint)) {
            return !desired.desiredArtifacts(blockedEndpoint).stream()
                    .allMatch(a -> ReservationLedger.isLoaded(tracker.ledger(), a));
        }
        long memory = desired.memoryBytes(tracker.endpoint());
        return desired.desiredArtifacts(tracker.endpoint()).stream()
                .anyMatch(a -> desired.bytes(a) >= 0
                        && !ReservationLedger.fits(tracker.ledger(), a, desired.bytes(a), memory));
    }

    private boolean addReplicas(EndpointTracker tracker) {
        DesiredState desired = term.desired();
        Map<String, Long> assignedBytes = new HashMap<>();
        for (LoadedArtifact loadedArtifact : tracker.ledger().loaded()) {
            Artifact a = loadedArtifact.artifact();
            boolean mustUnload = !desired.isDesired(tracker.endpoint(), a) || lacksBaseModel(tracker, a);
            if (!mustUnload) {
                continue;
            }
            displaced.add(a);
            if (desired.isNeeded(a) && term.findWitness(a, tracker.endpoint()) == null) {
                assignReplica(tracker.endpoint(), desired.withBaseModel(a), assignedBytes);
            }
        }
        if (temporaryArtifacts.isEmpty()) {
            displaced.clear();
            return false;
        }
        blockedEndpoint = tracker.endpoint();
        return true;
    }

    /** Returns whether the artifact is an adapter and all loaded versions of its base model must be unloaded. */
    private boolean lacksBaseModel(EndpointTracker tracker, Artifact a) {
        return a.adapter() != null
                && tracker.ledger().loaded().stream()
                        .noneMatch(entry -> entry.artifact().adapter() == null
                                && entry.artifact().model().equals(a.model())
                                && term.desired().isDesired(tracker.endpoint(), entry.artifact()));
    }

    private void assignReplica(String excluded, List<Artifact> artifacts, Map<String, Long> assignedBytes) {
        DesiredState desired = term.desired();
        for (EndpointTracker target : term.trackers().values()) {
            String id = target.endpoint();
            if (id.equals(excluded) || !target.isUsable() || !desired.isUsable(id)) {
                continue;
            }
            long bytes = 0;
            for (Artifact a : artifacts) {
                boolean present = ReservationLedger.isLoaded(target.ledger(), a)
                        || temporaryArtifacts(id).contains(a);
                bytes += present ? 0 : desired.bytes(a);
            }
            long free = desired.memoryBytes(id) - ReservationLedger.reservedBytes(target.ledger());
            if (assignedBytes.getOrDefault(id, 0L) + bytes <= free) {
                assignedBytes.merge(id, bytes, Long::sum);
                temporaryArtifacts.computeIfAbsent(id, k -> new TreeSet<>()).addAll(artifacts);
                return;
            }
        }
    }
}
