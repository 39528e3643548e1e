package org.gooseberryring.coordination.direct;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the requests that one host has in flight at an endpoint that fails when it must reject many requests.
 *
 * <p>Each host has a part of the slots, so that all hosts together fit in however late they learn of each other's
 * requests. It may use twice its part while there is a free slot for every host.
 */
final class BrittleLimit {
    /** Time for which no request is sent after the endpoint has rejected one. */
    private static final long REJECTED_MILLIS = 500;

    /** Time for which an abandoned request may still occupy its slot, until the endpoint notices that it is not needed. */
    private static final long ABANDONED_MILLIS = 500;

    private final String endpoint;
    private final Deque<Long> abandonedUntil = new ArrayDeque<>();
    private boolean brittle;
    private long rejectedUntil = Long.MIN_VALUE;

    BrittleLimit(String endpoint) {
        this.endpoint = endpoint;
    }

    void setBrittle(boolean isBrittle) {
        brittle = isBrittle;
        abandonedUntil.clear();
    }

    void onRejected(long now) {
        if (brittle) {
            rejectedUntil = now + REJECTED_MILLIS;
        }
    }

    /** Handles a request of this host that ended before its response; it is no longer in flight but may still run. */
    void onAbandoned(long now) {
        if (brittle) {
            abandonedUntil.add(now + ABANDONED_MILLIS);
        }
    }

    /**
     * Returns whether another request may be sent.
     *
     * @param own requests of this host in flight
     * @param all requests of all hosts in flight, as far as this host knows
     */
    boolean canSend(int own, int all, int slots, FleetShare share, long now) {
        if (!brittle) {
            return true;
        }
        int abandoned = abandoned(now);
        int used = own + abandoned;
        int part = part(slots, share);
        boolean roomForAll = slots - all - abandoned >= share.hosts();
        return now >= rejectedUntil && (used < part || used < 2 * part && roomForAll);
    }

    private int abandoned(long now) {
        while (!abandonedUntil.isEmpty() && now >= abandonedUntil.peek()) {
            abandonedUntil.remove();
        }
        return abandonedUntil.size();
    }

    /** Returns the slots of this host. The remainder goes to other hosts at each endpoint; no host has no slot at all. */
    private int part(int slots, FleetShare share) {
        int place = Math.floorMod(share.rank() + endpoint.hashCode(), share.hosts());
        int remainder = slots % share.hosts();
        return Math.max(1, slots / share.hosts() + (place < remainder ? 1 : 0));
    }
}
