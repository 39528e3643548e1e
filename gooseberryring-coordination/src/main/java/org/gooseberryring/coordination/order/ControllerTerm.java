package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.FleetConfiguration;

/** Work of a controller during one term. */
final class ControllerTerm {
    /** Ledgers that are read at a time; the store takes about 2,000 reads a second from the whole fleet. */
    private static final int READS_PER_TICK = 20;

    private final String failureDomain;
    private final long number;
    private final OrderSettings settings;
    private final OrderCodec codec;
    private final RandomGenerator random;
    private final SortedMap<String, EndpointTracker> tracks = new TreeMap<>();
    private final LoadTasks loads;
    private final UnloadTasks unloads;
    private final TemporaryReplicas temporary;
    private DesiredState desired;
    private long sequence;
    private long stamps;

    ControllerTerm(
            String failureDomain, long number, OrderSettings settings, OrderCodec codec, RandomGenerator random) {
        this.failureDomain = failureDomain;
        this.number = number;
        this.settings = settings;
        this.codec = codec;
        this.random = random;
        this.loads = new LoadTasks(this);
        this.unloads = new UnloadTasks(this);
        this.temporary = new TemporaryReplicas(this);
    }

    String failureDomain() {
        return failureDomain;
    }

    long number() {
        return number;
    }

    OrderSettings settings() {
        return settings;
    }

    OrderCodec codec() {
        return codec;
    }

    RandomGenerator random() {
        return random;
    }

    SortedMap<String, EndpointTracker> tracks() {
        return tracks;
    }

    DesiredState desired() {
        return desired;
    }

    /** Returns a new order identifier of this term. */
    OrderId nextId() {
        return new OrderId(number, ++sequence);
    }

    /** Returns a new stamp; terms are unique within a failure domain, so the stamp is unique. */
    String nextStamp() {
        return failureDomain + "/" + number + "/" + ++stamps;
    }

    /** Returns what the endpoint shall hold, with temporary replicas. */
    Set<Artifact> wanted(String endpoint) {
        Set<Artifact> wanted = desired.wanted(endpoint);
        wanted.addAll(temporary.extra(endpoint));
        wanted.removeIf(a -> temporary.displaced(endpoint, a));
        return wanted;
    }

    /** Returns whether the endpoint shall hold the artifact, also if only for the time being. */
    boolean wants(String endpoint, Artifact artifact) {
        return (desired.wants(endpoint, artifact) || temporary.extra(endpoint).contains(artifact))
                && !temporary.displaced(endpoint, artifact);
    }

    void onConfiguration(FleetConfiguration configuration, long now) {
        desired = new DesiredState(configuration, failureDomain);
        for (String id : desired.engines()) {
            tracks.computeIfAbsent(id, k -> new EndpointTracker(k, settings.longestOrderDelayMillis(), codec, random));
        }
        tracks.keySet().retainAll(desired.engines());
        temporary.clear(now);
    }

    List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>();
        if (desired == null) {
            return effects;
        }
        int reads = 0;
        for (EndpointTracker track : tracks.values()) {
            effects.addAll(track.cell().onTick(now));
            if (track.cell().doc() == null) {
                if (track.cell().idle() && reads++ < READS_PER_TICK) {
                    effects.addAll(track.cell().read());
                }
                continue;
            }
            effects.addAll(track.ask(now, settings.reportMillis()));
            effects.addAll(track.applyReport(nextStamp(), desired::bytes, now));
        }
        temporary.onTick(loads.busy() || unloads.busy(), now);
        effects.addAll(unloads.onTick(now));
        effects.addAll(loads.onTick(now));
        return effects;
    }

    List<OrderEffect> onReport(EndpointReport report, long now) {
        EndpointTracker track = tracks.get(report.endpoint());
        if (track == null || track.cell().doc() == null) {
            return List.of();
        }
        track.onReport(report);
        return track.applyReport(nextStamp(), desired::bytes, now);
    }

    List<OrderEffect> onStoreReply(StoreReply reply, long now) {
        List<OrderEffect> effects = new ArrayList<>();
        if (loads.onBudgetReply(reply, now, effects) || unloads.onForeignReply(reply, now, effects)) {
            return effects;
        }
        for (Map.Entry<String, EndpointTracker> entry : tracks.entrySet()) {
            if (EndpointTracker.key(entry.getKey()).equals(reply.key())) {
                StoredObject.Event event = entry.getValue().onReply(reply, now, effects);
                loads.onLedger(entry.getValue(), event, now, effects);
                unloads.onLedger(entry.getValue(), event, now, effects);
            }
        }
        return effects;
    }

    /** Returns a usable endpoint of the failure domain with a confirmed replica, except one endpoint, or null. */
    EndpointTracker witness(Artifact artifact, String except) {
        EndpointTracker found = null;
        for (EndpointTracker track : tracks.values()) {
            if (track.endpoint().equals(except) || track.cell().doc() == null || !desired.usable(track.endpoint())) {
                continue;
            }
            boolean confirms = track.ledger().loaded().stream()
                    .anyMatch(h -> desired.standsIn(h.artifact(), artifact) && track.confirms(h.artifact()));
            if (confirms && (found == null || witnessRank(track, artifact) > witnessRank(found, artifact))) {
                found = track;
            }
        }
        return found;
    }

    /** Prefers an endpoint that is to keep the artifact, then one whose ledger can be updated now. */
    private int witnessRank(EndpointTracker track, Artifact artifact) {
        return (wants(track.endpoint(), artifact) ? 2 : 0) + (track.cell().ready() ? 1 : 0);
    }
}
