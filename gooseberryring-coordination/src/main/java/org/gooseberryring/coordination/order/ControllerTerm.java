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

/** State and work of a controller during one term. */
final class ControllerTerm {
    /** Maximum number of ledgers read per tick; the store serves about 2,000 reads per second for the entire fleet. */
    private static final int READS_PER_TICK = 20;

    private final String failureDomain;
    private final long number;
    private final OrderSettings settings;
    private final OrderCodec codec;
    private final RandomGenerator random;
    private final SortedMap<String, EndpointTracker> trackers = new TreeMap<>();
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

    SortedMap<String, EndpointTracker> trackers() {
        return trackers;
    }

    DesiredState desired() {
        return desired;
    }

    /** Returns a new order identifier of this term. */
    OrderId nextOrderId() {
        return new OrderId(number, ++sequence);
    }

    /** Returns a new stamp; terms are unique within a failure domain, so the stamp is unique. */
    String nextStamp() {
        return failureDomain + "/" + number + "/" + ++stamps;
    }

    /** Returns the artifacts that the endpoint should have loaded, including temporary replicas. */
    Set<Artifact> desiredArtifacts(String endpoint) {
        Set<Artifact> artifacts = desired.desiredArtifacts(endpoint);
        artifacts.addAll(temporary.temporaryArtifacts(endpoint));
        artifacts.removeIf(a -> temporary.isDisplaced(endpoint, a));
        return artifacts;
    }

    /** Returns whether the endpoint should have the artifact loaded, permanently or as a temporary replica. */
    boolean isDesired(String endpoint, Artifact artifact) {
        return (desired.isDesired(endpoint, artifact)
                        || temporary.temporaryArtifacts(endpoint).contains(artifact))
                && !temporary.isDisplaced(endpoint, artifact);
    }

    void onConfiguration(FleetConfiguration configuration, long now) {
        desired = new DesiredState(configuration, failureDomain);
        for (String id : desired.engines()) {
            trackers.computeIfAbsent(id, k -> new EndpointTracker(k, settings.maxOrderDelayMillis(), codec, random));
        }
        trackers.keySet().retainAll(desired.engines());
        temporary.clear(now);
    }

    List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>();
        if (desired == null) {
            return effects;
        }
        int reads = 0;
        for (EndpointTracker tracker : trackers.values()) {
            effects.addAll(tracker.storedLedger().onTick(now));
            if (tracker.storedLedger().document() == null) {
                if (tracker.storedLedger().isIdle() && reads++ < READS_PER_TICK) {
                    effects.addAll(tracker.storedLedger().read());
                }
                continue;
            }
            effects.addAll(tracker.requestReport(now, settings.reportIntervalMillis()));
            effects.addAll(tracker.applyReport(nextStamp(), desired::bytes, now));
        }
        temporary.onTick(loads.isBusy() || unloads.isBusy(), now);
        effects.addAll(unloads.onTick(now));
        effects.addAll(loads.onTick(now));
        return effects;
    }

    List<OrderEffect> onReport(EndpointReport report, long now) {
        EndpointTracker tracker = trackers.get(report.endpoint());
        if (tracker == null || tracker.storedLedger().document() == null) {
            return List.of();
        }
        tracker.onReport(report);
        return tracker.applyReport(nextStamp(), desired::bytes, now);
    }

    List<OrderEffect> onStoreReply(StoreReply reply, long now) {
        List<OrderEffect> effects = new ArrayList<>();
        if (loads.onBudgetReply(reply, now, effects) || unloads.onRemoteLedgerReply(reply, now, effects)) {
            return effects;
        }
        for (Map.Entry<String, EndpointTracker> entry : trackers.entrySet()) {
            if (EndpointTracker.key(entry.getKey()).equals(reply.key())) {
                StoredObject.Event event = entry.getValue().onReply(reply, now, effects);
                loads.onLedgerEvent(entry.getValue(), event, now, effects);
                unloads.onLedgerEvent(entry.getValue(), event, now, effects);
            }
        }
        return effects;
    }

    /**
     * Returns a usable endpoint of the failure domain with a confirmed replica, other than the excluded one, or null.
     */
    EndpointTracker findWitness(Artifact artifact, String excluded) {
        EndpointTracker found = null;
        for (EndpointTracker tracker : trackers.values()) {
            if (tracker.endpoint().equals(excluded)
                    || tracker.storedLedger().document() == null
                    || !desired.isUsable(tracker.endpoint())) {
                continue;
            }
            boolean isConfirmed = tracker.ledger().loaded().stream()
                    .anyMatch(entry ->
                            desired.canSubstitute(entry.artifact(), artifact) && tracker.isConfirmed(entry.artifact()));
            if (isConfirmed && (found == null || witnessRank(tracker, artifact) > witnessRank(found, artifact))) {
                found = tracker;
            }
        }
        return found;
    }

    /** Ranks an endpoint that keeps the artifact highest, then one whose ledger can be updated now. */
    private int witnessRank(EndpointTracker tracker, Artifact artifact) {
        return (isDesired(tracker.endpoint(), artifact) ? 2 : 0)
                + (tracker.storedLedger().isReady() ? 1 : 0);
    }
}
