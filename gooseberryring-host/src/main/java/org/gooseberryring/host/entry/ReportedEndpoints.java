package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.protocol.peer.HeldEndpoint;

/**
 * Latest reports of the controllers of the failure domains on the models of their endpoints.
 *
 * <p>A report arrives directly and through the relays, in any order; the newest one counts. Not thread-safe; used on the
 * control thread only.
 */
final class ReportedEndpoints {
    /** Maximum number of endpoints whose latest report is stored; reports on further ones are applied but not stored. */
    private static final int MAX_ENDPOINTS = 20_000;

    private final Controllers controllers;
    private final Consumer<ResidencyEffect.Announce> changed;
    private final Consumer<ResidencyEffect.Announce> repeated;
    private final Map<String, Report> newest = new HashMap<>();

    private record Report(String failureDomain, String host, HeldEndpoint held) {
        boolean isNewerThan(Report other) {
            long term = held.getTerm();
            long otherTerm = other.held().getTerm();
            return term > otherTerm
                    || term == otherTerm && held.getRevision() > other.held().getRevision();
        }
    }

    /**
     * Creates an instance without reports.
     *
     * @param changed called with each report that is newer than the last one
     * @param repeated called with the latest reports again, at each {@link #repeat}
     */
    ReportedEndpoints(
            Controllers controllers,
            Consumer<ResidencyEffect.Announce> changed,
            Consumer<ResidencyEffect.Announce> repeated) {
        this.controllers = controllers;
        this.changed = changed;
        this.repeated = repeated;
    }

    /** Handles the report of a host on an endpoint; ignores it if a later controller or a later report is known. */
    void onReport(String failureDomain, String host, HeldEndpoint held, long now) {
        if (failureDomain == null || !controllers.recordController(failureDomain, host, held.getTerm(), now)) {
            return;
        }
        Report next = new Report(failureDomain, host, held);
        Report last = newest.get(held.getEndpoint());
        if (last != null && !next.isNewerThan(last)) {
            return;
        }
        if (last != null || newest.size() < MAX_ENDPOINTS) {
            newest.put(held.getEndpoint(), next);
        }
        changed.accept(PeerCodec.holding(held));
    }

    /** Repeats the reports of current controllers, since an entry of an endpoint may be older than its report. */
    void repeat() {
        for (Report each : newest.values()) {
            if (controllers.isController(
                    each.failureDomain(), each.host(), each.held().getTerm())) {
                repeated.accept(PeerCodec.holding(each.held()));
            }
        }
    }

    /** Removes an endpoint that was unregistered or restarted. */
    void remove(String endpoint) {
        newest.remove(endpoint);
    }
}
