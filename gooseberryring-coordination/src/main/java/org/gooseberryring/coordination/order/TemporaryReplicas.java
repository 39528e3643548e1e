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
 * Temporary replicas that let a swap proceed where memory is too tight for make-before-break.
 *
 * <p>A swap is blocked if an endpoint has no room for what it shall hold, and what it shall give up has no other replica.
 * The latter is then loaded on a third endpoint for the time being. Giving this up is always safe, because the
 * temporary replica is only unloaded once another one is confirmed.
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

    /** Returns artifacts that the endpoint shall hold for the time being. */
    Set<Artifact> temporaryArtifacts(String endpoint) {
        return temporaryArtifacts.getOrDefault(endpoint, Set.of());
    }

    /** Returns whether the artifact must leave the endpoint for the time being although the placements name it. */
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
     * Looks for a swap that is blocked.
     *
     * @param busy whether any load or unload is under way
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
        // The next endpoint in order comes first, so that one that cannot be helped does not hold up the others.
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

    /** Returns whether the endpoint lacks an artifact for which it has no room. */
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

    /** Returns whether the artifact is an adapter that is loaded on versions that must leave. */
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
