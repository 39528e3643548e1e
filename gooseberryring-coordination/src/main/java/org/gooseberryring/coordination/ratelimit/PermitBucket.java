package org.gooseberryring.coordination.ratelimit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.state.EndpointProcess;

/** Permits of one limited process, which waiting hosts get in turn, one each. */
final class PermitBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Time for which unused permits are saved, so that uneven demand does not leave the limit unused. */
    private static final double SAVED_SECONDS = 0.25;

    /** Time after which a host that does not repeat its request no longer waits. */
    private static final long REQUEST_TIMEOUT_MILLIS = 600;

    private final EndpointProcess process;
    private final Map<Waiter, Demand> waiting = new LinkedHashMap<>();
    private RateLimit limit = RateLimit.NONE;
    private double share = 1;
    private double permits;
    private long refilledAt;
    private long requestedAt;

    private record Waiter(String host, PermitPurpose purpose) {}

    private record Demand(long number, int wanted, long requestedAt) {}

    PermitBucket(EndpointProcess process, long now) {
        this.process = process;
        this.refilledAt = now;
        this.requestedAt = now;
    }

    boolean isIdle(long millis, long now) {
        return now - requestedAt > millis;
    }

    void setLimit(RateLimit newLimit, double newShare, long now) {
        refill(now);
        limit = newLimit;
        setShare(newShare);
    }

    private void setShare(double newShare) {
        share = newShare;
        permits = Math.min(permits, capacity());
    }

    List<PermitIssuer.Issued> onRequest(String host, PermitRequest request, long now) {
        requestedAt = now;
        Waiter waiter = new Waiter(host, request.purpose());
        if (request.wanted() == 0) {
            waiting.remove(waiter);
            return List.of();
        }
        // A waiter that repeats its request keeps its turn.
        waiting.put(waiter, new Demand(request.number(), request.wanted(), now));
        List<PermitIssuer.Issued> issued = issue(now);
        boolean answered = issued.stream()
                .anyMatch(each -> each.host().equals(host) && each.grant().purpose() == request.purpose());
        if (!answered) {
            issued.add(grant(waiter, request.number(), 0));
        }
        return issued;
    }

    List<PermitIssuer.Issued> onTick(double newShare, long now) {
        refill(now);
        setShare(newShare);
        waiting.values().removeIf(demand -> now - demand.requestedAt() > REQUEST_TIMEOUT_MILLIS);
        return issue(now);
    }

    /** Issues the available permits, one to each waiter in turn. */
    private List<PermitIssuer.Issued> issue(long now) {
        refill(now);
        Map<Waiter, Integer> issued = new LinkedHashMap<>();
        Map<Waiter, Long> numbers = new LinkedHashMap<>();
        while (share > 0 && permits >= 1 && !waiting.isEmpty()) {
            Iterator<Map.Entry<Waiter, Demand>> first = waiting.entrySet().iterator();
            Map.Entry<Waiter, Demand> next = first.next();
            Waiter waiter = next.getKey();
            Demand demand = next.getValue();
            first.remove();
            permits--;
            issued.merge(waiter, 1, Integer::sum);
            numbers.put(waiter, demand.number());
            if (demand.wanted() > 1) {
                waiting.put(waiter, new Demand(demand.number(), demand.wanted() - 1, demand.requestedAt()));
            }
        }
        List<PermitIssuer.Issued> grants = new ArrayList<>();
        issued.forEach((waiter, count) -> grants.add(grant(waiter, numbers.get(waiter), count)));
        return grants;
    }

    private PermitIssuer.Issued grant(Waiter waiter, long number, int count) {
        double missing = position(waiter) + 1 - permits;
        long waitMillis = (long) Math.ceil(Math.max(0, missing) * millisPerPermit());
        long intervalMillis = (long) Math.ceil(Math.max(1, waiting.size()) * millisPerPermit());
        return new PermitIssuer.Issued(
                waiter.host(),
                new PermitGrant(process, waiter.purpose(), number, count, waitMillis, intervalMillis, limit));
    }

    /** Returns the number of waiters that get a permit before the given one. */
    private int position(Waiter waiter) {
        int position = 0;
        for (Waiter each : waiting.keySet()) {
            if (each.equals(waiter)) {
                return position;
            }
            position++;
        }
        return position;
    }

    private void refill(long now) {
        if (limit.isLimited()) {
            permits = Math.min(capacity(), permits + (now - refilledAt) / millisPerPermit());
        }
        refilledAt = now;
    }

    private double capacity() {
        return Math.max(1, SAVED_SECONDS * share * limit.permitsPerSecond());
    }

    /** Returns the expected interval between two permits; that of the issuer if this host is not the issuer. */
    private double millisPerPermit() {
        return MILLIS_PER_SECOND / ((share > 0 ? share : 1) * limit.permitsPerSecond());
    }
}
