package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.gooseberryring.coordination.residency.ResidencyEffect;
import org.gooseberryring.protocol.peer.HeldEndpoint;

/**
 * What the controllers of the failure domains last stated of their endpoints.
 *
 * <p>A statement comes directly and through the relays, in any order; the newest one counts. Belongs to the control thread.
 */
final class ReportedEndpoints {
    /** Endpoints whose last statement is kept; statements on further ones are taken over without that. */
    private static final int MAX_ENDPOINTS = 20_000;

    private final Controllers controllers;
    private final Consumer<ResidencyEffect.Announce> changed;
    private final Consumer<ResidencyEffect.Announce> repeated;
    private final Map<String, Stated> newest = new HashMap<>();

    private record Stated(String failureDomain, String host, HeldEndpoint held) {
        boolean isNewerThan(Stated other) {
            long term = held.getTerm();
            long otherTerm = other.held().getTerm();
            return term > otherTerm
                    || term == otherTerm && held.getRevision() > other.held().getRevision();
        }
    }

    /**
     * Creates holdings of no endpoint.
     *
     * @param changed takes each statement that counts
     * @param repeated takes the statements that count again from time to time
     */
    ReportedEndpoints(
            Controllers controllers,
            Consumer<ResidencyEffect.Announce> changed,
            Consumer<ResidencyEffect.Announce> repeated) {
        this.controllers = controllers;
        this.changed = changed;
        this.repeated = repeated;
    }

    /** Takes over what a host states of an endpoint, unless a later controller or a later statement is known. */
    void stated(String failureDomain, String host, HeldEndpoint held, long now) {
        if (failureDomain == null || !controllers.heard(failureDomain, host, held.getTerm(), now)) {
            return;
        }
        Stated next = new Stated(failureDomain, host, held);
        Stated last = newest.get(held.getEndpoint());
        if (last != null && !next.isNewerThan(last)) {
            return;
        }
        if (last != null || newest.size() < MAX_ENDPOINTS) {
            newest.put(held.getEndpoint(), next);
        }
        changed.accept(PeerCodec.holding(held));
    }

    /** Takes over again what present controllers stated, since an entry of an endpoint may be older than that. */
    void repeat() {
        for (Stated each : newest.values()) {
            if (controllers.isController(
                    each.failureDomain(), each.host(), each.held().getTerm())) {
                repeated.accept(PeerCodec.holding(each.held()));
            }
        }
    }

    /** Forgets an endpoint that is gone or has started anew. */
    void forget(String endpoint) {
        newest.remove(endpoint);
    }
}
