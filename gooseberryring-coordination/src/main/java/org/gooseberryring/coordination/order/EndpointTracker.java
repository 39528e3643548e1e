package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.state.Artifact;

/** Tracks the ledger and the last report of one endpoint of the controller's failure domain. */
final class EndpointTracker {
    private static final long NEVER = Long.MIN_VALUE;

    private final String endpoint;
    private final StoredObject<LedgerDocument> storedLedger;
    private final long maxOrderDelayMillis;
    private final Map<OrderId, Long> orderFirstSeenAt = new HashMap<>();
    private final Map<Artifact, Long> undesiredSince = new HashMap<>();
    private EndpointReport report;
    private long appliedReportAt = NEVER;
    private long nextReportRequestAt;

    EndpointTracker(String endpoint, long maxOrderDelayMillis, OrderCodec codec, RandomGenerator random) {
        this.endpoint = endpoint;
        this.maxOrderDelayMillis = maxOrderDelayMillis;
        this.storedLedger = new StoredObject<>(
                key(endpoint), LedgerDocument.class, () -> ReservationLedger.empty(endpoint), codec, random);
    }

    static String key(String endpoint) {
        return "ledger/" + endpoint;
    }

    String endpoint() {
        return endpoint;
    }

    StoredObject<LedgerDocument> storedLedger() {
        return storedLedger;
    }

    LedgerDocument ledger() {
        return storedLedger.document();
    }

    /** Returns whether the ledger can be updated now and a report has confirmed it since this controller read it. */
    boolean isUsable() {
        return storedLedger.isReady() && appliedReportAt != NEVER;
    }

    /** Returns whether the artifact is loaded according to the ledger and no order can unload it. */
    boolean isConfirmed(Artifact artifact) {
        return appliedReportAt != NEVER && ReservationLedger.isConfirmed(storedLedger.document(), artifact);
    }

    /** Returns whether the last report lists the order as accepted but not finished. */
    boolean isPending(OrderId id) {
        return report != null && report.pendingOrders().contains(id.toString());
    }

    /** Returns the observation time of the last applied report, or {@code Long.MIN_VALUE} if there is none. */
    long appliedReportAt() {
        return appliedReportAt;
    }

    /**
     * Returns the time since which the artifact has continuously been loaded without being desired, or the given time
     * if it is desired.
     */
    long undesiredSince(Artifact artifact, boolean desired, long now) {
        if (desired) {
            undesiredSince.remove(artifact);
            return now;
        }
        return undesiredSince.computeIfAbsent(artifact, k -> now);
    }

    /** Requests a report if one is due. */
    List<OrderEffect> requestReport(long now, long period) {
        if (now < nextReportRequestAt) {
            return List.of();
        }
        nextReportRequestAt = now + period;
        return List.of(new OrderEffect.RequestReport(endpoint));
    }

    /** Stores a report unless a newer one was received before. */
    void onReport(EndpointReport newReport) {
        if (report == null || newReport.observedAt() > report.observedAt()) {
            report = newReport;
        }
    }

    StoredObject.Event onReply(StoreReply reply, long now, List<OrderEffect> effects) {
        StoredObject.Event event = storedLedger.onReply(reply, now, effects);
        if (event != StoredObject.Event.NONE) {
            storedLedger.document().orders().forEach(o -> orderFirstSeenAt.putIfAbsent(o.id(), now));
        }
        return event;
    }

    /**
     * Updates the ledger from the last report.
     *
     * <p>Only a report that is newer than the ledger may change it. An older one could release reservations that
     * another controller has recorded since.
     */
    List<OrderEffect> applyReport(String stamp, ToLongFunction<Artifact> bytes, long now) {
        if (report == null
                || !storedLedger.isReady()
                || report.observedAt() < storedLedger.syncedAt()
                || report.observedAt() <= appliedReportAt) {
            return List.of();
        }
        long observedAt = report.observedAt();
        appliedReportAt = observedAt;
        LedgerDocument next = ReservationLedger.applyReport(
                storedLedger.document(),
                report,
                stamp,
                id -> orderFirstSeenAt.getOrDefault(id, observedAt) + maxOrderDelayMillis >= observedAt,
                bytes);
        if (next == storedLedger.document()) {
            return List.of();
        }
        return new ArrayList<>(storedLedger.put(next, now));
    }
}
