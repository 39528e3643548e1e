package org.gooseberryring.coordination.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Shares the concurrency of one endpoint between the hosts of its failure domain.
 *
 * <p>The sum of all allocations never exceeds the concurrency. An allocation is raised before the grant is sent. It is
 * lowered only when its holder reports that it has fewer credits, or when every request that the holder may have
 * started has ended.
 */
final class EndpointCreditAllocator {
    private final String endpoint;
    private final long term;
    private final CreditRules rules;
    private final Map<HolderId, HolderAllocation> allocations = new HashMap<>();
    private final Map<HolderId, HolderAllocation> unregistered = new HashMap<>();
    private final Set<HolderId> predecessors;
    private final SlowStart slowStart;
    private int concurrency;

    /**
     * Creates the allocator of an endpoint in a new term.
     *
     * @param unregistered credits that each process may still have from earlier terms
     * @param predecessors earlier coordinators that may still grant credits
     */
    EndpointCreditAllocator(
            String endpoint,
            long term,
            int concurrency,
            CreditRules rules,
            Map<HolderId, Integer> unregistered,
            Collection<HolderId> predecessors,
            long now) {
        this.endpoint = endpoint;
        this.term = term;
        this.concurrency = concurrency;
        this.rules = rules;
        this.predecessors = new HashSet<>(predecessors);
        this.slowStart = new SlowStart(concurrency);
        if (!unregistered.isEmpty()) {
            // The endpoint was in use before the hand-over; slow start would cut off running requests.
            slowStart.skipToCapacity();
        }
        long expiresAt = now + CreditRules.withMargin(rules.reclaimAfterMillis()) + expiryMillis();
        unregistered.forEach(
                (holder, credits) -> this.unregistered.put(holder, new HolderAllocation(credits, expiresAt)));
        if (predecessors.isEmpty()) {
            startExpiry(now);
        }
    }

    void concurrency(int newConcurrency) {
        concurrency = newConcurrency;
        slowStart.capacity(newConcurrency);
    }

    void restarted() {
        slowStart.restart();
    }

    void predecessorStopped(HolderId predecessor, long now) {
        if (predecessors.remove(predecessor) && predecessors.isEmpty()) {
            startExpiry(now);
        }
    }

    /** Handles the end of a process whose host runs a newer one; its last requests may still be running. */
    void processEnded(HolderId holder, long now) {
        long expiresAt = now + CreditRules.withMargin(rules.maxRequestMillis());
        for (Map<HolderId, HolderAllocation> holderAllocations : List.of(allocations, unregistered)) {
            HolderAllocation allocation = holderAllocations.get(holder);
            if (allocation != null) {
                allocation.expiresAt(Math.min(allocation.expiresAt(), expiresAt));
            }
        }
    }

    /**
     * Records the credits of a process and decides how many it may have from now on.
     *
     * @param mayGrant whether this coordinator may grant credits and the process is on the recorded roster
     * @return grant to send, or null if the request is older than the last one processed
     */
    CreditMessage.Grant requested(HolderId holder, CreditMessage.Request request, boolean mayGrant, long now) {
        expire(now);
        HolderAllocation allocation =
                allocations.computeIfAbsent(holder, id -> new HolderAllocation(0, Long.MAX_VALUE));
        if (request.sequence() <= allocation.sequence()) {
            return request.sequence() == allocation.sequence() ? allocation.lastGrant() : null;
        }
        unregistered.remove(holder);
        countSuccesses(request);
        allocation.credits(request.held());
        allocation.expiresAt(now + expiryMillis());
        int limit = mayGrant ? limitFor(holder, request) : 0;
        allocation.credits(Math.max(request.held(), limit));
        CreditMessage.Grant grant =
                new CreditMessage.Grant(endpoint, term, request.sequence(), limit, mayGrant ? rules.leaseMillis() : 0);
        allocation.recordGrant(grant, request.wanted() > limit);
        return grant;
    }

    void expire(long now) {
        removeExpired(allocations, now);
        removeExpired(unregistered, now);
    }

    /** Returns the credits that each process may use, for a successor. */
    Map<HolderId, Integer> holdings() {
        Map<HolderId, Integer> holdings = new HashMap<>();
        unregistered.forEach((holder, allocation) -> holdings.put(holder, allocation.credits()));
        allocations.forEach((holder, allocation) -> holdings.merge(holder, allocation.credits(), Math::max));
        return holdings;
    }

    Set<HolderId> predecessors() {
        return Set.copyOf(predecessors);
    }

    long term() {
        return term;
    }

    int total() {
        return sum(allocations) + sum(unregistered);
    }

    private int limitFor(HolderId holder, CreditMessage.Request request) {
        int room = Math.min(concurrency, slowStart.limit()) - (total() - request.held());
        int limit = Math.min(request.wanted(), Math.min(room, rules.maxShare(concurrency)));
        int competitors = 1;
        for (Map.Entry<HolderId, HolderAllocation> entry : allocations.entrySet()) {
            if (!entry.getKey().equals(holder) && entry.getValue().needsMore()) {
                competitors++;
            }
        }
        if (competitors > 1) {
            int share = Math.max(1, Math.min(concurrency, slowStart.limit()) / competitors);
            limit = Math.min(limit, share);
        }
        return Math.max(0, limit);
    }

    private void countSuccesses(CreditMessage.Request request) {
        if (request.endpointLost()) {
            slowStart.restart();
            return;
        }
        for (int i = 0; i < Math.min(request.succeeded(), concurrency); i++) {
            slowStart.onAttemptSucceeded(-1);
        }
    }

    private void startExpiry(long now) {
        long expiresAt = now + expiryMillis();
        unregistered.values().forEach(allocation -> allocation.expiresAt(Math.min(allocation.expiresAt(), expiresAt)));
    }

    /** Time after which no request started under the last grant of a silent process can still be running. */
    private long expiryMillis() {
        return CreditRules.withMargin(rules.leaseMillis() + rules.maxRequestMillis());
    }

    private static void removeExpired(Map<HolderId, HolderAllocation> holderAllocations, long now) {
        Iterator<HolderAllocation> iterator = holderAllocations.values().iterator();
        while (iterator.hasNext()) {
            if (iterator.next().expiresAt() <= now) {
                iterator.remove();
            }
        }
    }

    private static int sum(Map<HolderId, HolderAllocation> holderAllocations) {
        int sum = 0;
        for (HolderAllocation allocation : holderAllocations.values()) {
            sum += allocation.credits();
        }
        return sum;
    }
}
