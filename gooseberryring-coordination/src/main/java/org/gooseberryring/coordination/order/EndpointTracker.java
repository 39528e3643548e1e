package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.state.Artifact;

/** Endpoint of the own failure domain as the controller sees it: its ledger and its last report. */
final class EndpointTracker {
    private static final long NEVER = Long.MIN_VALUE;

    private final String endpoint;
    private final StoredObject<LedgerDocument> cell;
    private final long longestOrderDelay;
    private final Map<OrderId, Long> firstSeen = new HashMap<>();
    private final Map<Artifact, Long> unwantedSince = new HashMap<>();
    private EndpointReport report;
    private long usedReportAt = NEVER;
    private long nextAskAt;

    EndpointTracker(String endpoint, long longestOrderDelay, OrderCodec codec, RandomGenerator random) {
        this.endpoint = endpoint;
        this.longestOrderDelay = longestOrderDelay;
        this.cell = new StoredObject<>(
                key(endpoint), LedgerDocument.class, () -> ReservationLedger.empty(endpoint), codec, random);
    }

    static String key(String endpoint) {
        return "ledger/" + endpoint;
    }

    String endpoint() {
        return endpoint;
    }

    StoredObject<LedgerDocument> cell() {
        return cell;
    }

    LedgerDocument ledger() {
        return cell.doc();
    }

    /** Returns whether the ledger may be changed now and a report has confirmed it since this controller read it. */
    boolean usable() {
        return cell.ready() && usedReportAt != NEVER;
    }

    /** Returns whether the artifact is loaded according to the ledger and no order can unload it. */
    boolean confirms(Artifact artifact) {
        return usedReportAt != NEVER && ReservationLedger.confirms(cell.doc(), artifact);
    }

    /** Returns whether the last report shows the order as accepted and not finished. */
    boolean pending(OrderId id) {
        return report != null && report.pendingOrders().contains(id.toString());
    }

    /** Returns the time that the last usable report describes, or {@code Long.MIN_VALUE}. */
    long usedReportAt() {
        return usedReportAt;
    }

    /** Returns the time at which the artifact was first seen outside the placements, for as long as it stays so. */
    long unwantedSince(Artifact artifact, boolean wanted, long now) {
        if (wanted) {
            unwantedSince.remove(artifact);
            return now;
        }
        return unwantedSince.computeIfAbsent(artifact, k -> now);
    }

    /** Asks for a report when one is due. */
    List<OrderEffect> ask(long now, long period) {
        if (now < nextAskAt) {
            return List.of();
        }
        nextAskAt = now + period;
        return List.of(new OrderEffect.RequestReport(endpoint));
    }

    /** Takes a report unless a newer one was taken before. */
    void onReport(EndpointReport newReport) {
        if (report == null || newReport.observedAt() > report.observedAt()) {
            report = newReport;
        }
    }

    StoredObject.Event onReply(StoreReply reply, long now, List<OrderEffect> effects) {
        StoredObject.Event event = cell.onReply(reply, now, effects);
        if (event != StoredObject.Event.NONE) {
            cell.doc().orders().forEach(o -> firstSeen.putIfAbsent(o.id(), now));
        }
        return event;
    }

    /**
     * Brings the ledger in line with the last report.
     *
     * <p>Only a report that is newer than the ledger may change it: an older one could release what another controller
     * has recorded since.
     */
    List<OrderEffect> applyReport(String stamp, ToLongFunction<Artifact> bytes, long now) {
        if (report == null
                || !cell.ready()
                || report.observedAt() < cell.knownAt()
                || report.observedAt() <= usedReportAt) {
            return List.of();
        }
        long at = report.observedAt();
        usedReportAt = at;
        LedgerDocument next = ReservationLedger.after(
                cell.doc(), report, stamp, id -> firstSeen.getOrDefault(id, at) + longestOrderDelay >= at, bytes);
        if (next == cell.doc()) {
            return List.of();
        }
        return new ArrayList<>(cell.put(next, now));
    }
}
