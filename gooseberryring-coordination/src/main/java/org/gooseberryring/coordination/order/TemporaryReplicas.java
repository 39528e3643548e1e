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
    private final Map<String, Set<Artifact>> extra = new TreeMap<>();
    private final Set<Artifact> displaced = new HashSet<>();
    private String blocked;
    private long progressAt;

    TemporaryReplicas(ControllerTerm term) {
        this.term = term;
    }

    /** Returns artifacts that the endpoint shall hold for the time being. */
    Set<Artifact> extra(String endpoint) {
        return extra.getOrDefault(endpoint, Set.of());
    }

    /** Returns whether the artifact must leave the endpoint for the time being although the placements name it. */
    boolean displaced(String endpoint, Artifact artifact) {
        return endpoint.equals(blocked) && displaced.contains(artifact);
    }

    void clear(long now) {
        extra.clear();
        displaced.clear();
        blocked = null;
        progressAt = now;
    }

    /**
     * Looks for a swap that is blocked.
     *
     * @param busy whether any load or unload is under way
     */
    void onTick(boolean busy, long now) {
        if (busy) {
            progressAt = now;
        }
        if (blocked != null && !isBlocked(term.tracks().get(blocked))) {
            clear(now);
        }
        OrderSettings settings = term.settings();
        long patience = settings.longestOrderDelayMillis() + settings.retryMillis() + settings.drainMillis();
        if (now - progressAt < patience) {
            return;
        }
        String last = blocked;
        clear(now);
        // The next endpoint in order comes first, so that one that cannot be helped does not hold up the others.
        Map<String, EndpointTracker> after = new TreeMap<>(term.tracks());
        if (last != null) {
            after.keySet().removeIf(id -> id.compareTo(last) <= 0);
        }
        if (!findIn(after) && last != null) {
            findIn(term.tracks());
        }
    }

    private boolean findIn(Map<String, EndpointTracker> tracks) {
        for (EndpointTracker track : tracks.values()) {
            if (isBlocked(track) && replicate(track)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the endpoint lacks an artifact for which it has no room. */
    private boolean isBlocked(EndpointTracker track) {
        if (track == null || !track.usable() || !term.desired().usable(track.endpoint())) {
            return track != null && track.endpoint().equals(blocked);
        }
        DesiredState desired = term.desired();
        if (track.endpoint().equals(blocked)) {
            return !desired.wanted(blocked).stream().allMatch(a -> ReservationLedger.holds(track.ledger(), a));
        }
        long memory = desired.memoryBytes(track.endpoint());
        return desired.wanted(track.endpoint()).stream()
                .anyMatch(a ->
                        desired.bytes(a) >= 0 && !ReservationLedger.fits(track.ledger(), a, desired.bytes(a), memory));
    }

    private boolean replicate(EndpointTracker track) {
        DesiredState desired = term.desired();
        Map<String, Long> taken = new HashMap<>();
        for (LoadedArtifact held : track.ledger().loaded()) {
            Artifact a = held.artifact();
            boolean leaves = !desired.wants(track.endpoint(), a) || lostBase(track, a);
            if (!leaves) {
                continue;
            }
            displaced.add(a);
            if (desired.needed(a) && term.witness(a, track.endpoint()) == null) {
                place(track.endpoint(), desired.withBase(a), taken);
            }
        }
        if (extra.isEmpty()) {
            displaced.clear();
            return false;
        }
        blocked = track.endpoint();
        return true;
    }

    /** Returns whether the artifact is an adapter that is loaded on versions that must leave. */
    private boolean lostBase(EndpointTracker track, Artifact a) {
        return a.adapter() != null
                && track.ledger().loaded().stream()
                        .noneMatch(h -> h.artifact().adapter() == null
                                && h.artifact().model().equals(a.model())
                                && term.desired().wants(track.endpoint(), h.artifact()));
    }

    private void place(String except, List<Artifact> artifacts, Map<String, Long> taken) {
        DesiredState desired = term.desired();
        for (EndpointTracker target : term.tracks().values()) {
            String id = target.endpoint();
            if (id.equals(except) || !target.usable() || !desired.usable(id)) {
                continue;
            }
            long bytes = 0;
            for (Artifact a : artifacts) {
                boolean there =
                        ReservationLedger.holds(target.ledger(), a) || extra(id).contains(a);
                bytes += there ? 0 : desired.bytes(a);
            }
            long free = desired.memoryBytes(id) - ReservationLedger.reservedBytes(target.ledger());
            if (taken.getOrDefault(id, 0L) + bytes <= free) {
                taken.merge(id, bytes, Long::sum);
                extra.computeIfAbsent(id, k -> new TreeSet<>()).addAll(artifacts);
                return;
            }
        }
    }
}
