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
final class Tenure {
    /** Ledgers that are read at a time; the store takes about 2,000 reads a second from the whole fleet. */
    private static final int READS_PER_TICK = 20;

    private final String failureDomain;
    private final long term;
    private final OrderSettings settings;
    private final OrderCodec codec;
    private final RandomGenerator random;
    private final SortedMap<String, EndpointTrack> tracks = new TreeMap<>();
    private final LoadTasks loads;
    private final UnloadTasks unloads;
    private final Detours detours;
    private DesiredState desired;
    private long sequence;
    private long stamps;

    Tenure(String failureDomain, long term, OrderSettings settings, OrderCodec codec, RandomGenerator random) {
        this.failureDomain = failureDomain;
        this.term = term;
        this.settings = settings;
        this.codec = codec;
        this.random = random;
        this.loads = new LoadTasks(this);
        this.unloads = new UnloadTasks(this);
        this.detours = new Detours(this);
    }

    String failureDomain() {
        return failureDomain;
    }

    long term() {
        return term;
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

    SortedMap<String, EndpointTrack> tracks() {
        return tracks;
    }

    DesiredState desired() {
        return desired;
    }

    /** Returns a new order identifier of this term. */
    OrderId nextId() {
        return new OrderId(term, ++sequence);
    }

    /** Returns a new stamp; terms are unique within a failure domain, so the stamp is unique. */
    String nextStamp() {
        return failureDomain + "/" + term + "/" + ++stamps;
    }

    /** Returns what the endpoint shall hold, with temporary replicas. */
    Set<Artifact> wanted(String endpoint) {
        Set<Artifact> wanted = desired.wanted(endpoint);
        wanted.addAll(detours.extra(endpoint));
        wanted.removeIf(a -> detours.pushedOff(endpoint, a));
        return wanted;
    }

    /** Returns whether the endpoint shall hold the artifact, also if only for the time being. */
    boolean wants(String endpoint, Artifact artifact) {
        return (desired.wants(endpoint, artifact) || detours.extra(endpoint).contains(artifact))
                && !detours.pushedOff(endpoint, artifact);
    }

    void onConfiguration(FleetConfiguration configuration, long now) {
        desired = new DesiredState(configuration, failureDomain);
        for (String id : desired.engines()) {
            tracks.computeIfAbsent(id, k -> new EndpointTrack(k, settings.longestOrderDelayMillis(), codec, random));
        }
        tracks.keySet().retainAll(desired.engines());
        detours.clear(now);
    }

    List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>();
        if (desired == null) {
            return effects;
        }
        int reads = 0;
        for (EndpointTrack track : tracks.values()) {
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
        detours.onTick(loads.busy() || unloads.busy(), now);
        effects.addAll(unloads.onTick(now));
        effects.addAll(loads.onTick(now));
        return effects;
    }

    List<OrderEffect> onReport(EndpointReport report, long now) {
        EndpointTrack track = tracks.get(report.endpoint());
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
        for (Map.Entry<String, EndpointTrack> entry : tracks.entrySet()) {
            if (EndpointTrack.key(entry.getKey()).equals(reply.key())) {
                StoreCell.Event event = entry.getValue().onReply(reply, now, effects);
                loads.onLedger(entry.getValue(), event, now, effects);
                unloads.onLedger(entry.getValue(), event, now, effects);
            }
        }
        return effects;
    }

    /** Returns a usable endpoint of the failure domain with a confirmed replica, except one endpoint, or null. */
    EndpointTrack witness(Artifact artifact, String except) {
        EndpointTrack found = null;
        for (EndpointTrack track : tracks.values()) {
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
    private int witnessRank(EndpointTrack track, Artifact artifact) {
        return (wants(track.endpoint(), artifact) ? 2 : 0) + (track.cell().ready() ? 1 : 0);
    }
}
