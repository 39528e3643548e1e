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
 * <p>The sum of what all processes may use never exceeds the concurrency. An account is raised before the grant is sent
 * and lowered only when its holder says that it holds less, or when every request that it may have started has ended.
 */
final class EndpointCreditAllocator {
    private final String endpoint;
    private final long term;
    private final CreditRules rules;
    private final Map<HolderId, HolderAllocation> accounts = new HashMap<>();
    private final Map<HolderId, HolderAllocation> unregistered = new HashMap<>();
    private final Set<HolderId> predecessors;
    private final SlowStart slowStart;
    private int concurrency;

    /**
     * Creates the home of an endpoint in a new term.
     *
     * @param unregistered credits that each process may hold from earlier terms
     * @param predecessors earlier homes that may still grant
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
            // The endpoint was in use before the move; slow start would cut off what is running.
            slowStart.warm();
        }
        long freeAt = now + CreditRules.withMargin(rules.reclaimAfterMillis()) + expiryMillis();
        unregistered.forEach((holder, credits) -> this.unregistered.put(holder, new HolderAllocation(credits, freeAt)));
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

    /** Another process of the host runs, so this one starts nothing more; its last requests may still run. */
    void processEnded(HolderId holder, long now) {
        long freeAt = now + CreditRules.withMargin(rules.maxRequestMillis());
        for (Map<HolderId, HolderAllocation> map : List.of(accounts, unregistered)) {
            HolderAllocation account = map.get(holder);
            if (account != null) {
                account.freeAt(Math.min(account.freeAt(), freeAt));
            }
        }
    }

    /**
     * Takes over what a process holds and decides what it may hold from now on.
     *
     * @param mayGrant whether this home may grant at all and the process is on the recorded roster
     * @return grant to send, or null if the request is older than one that was answered
     */
    CreditMessage.Grant requested(HolderId holder, CreditMessage.Request request, boolean mayGrant, long now) {
        expire(now);
        HolderAllocation account = accounts.computeIfAbsent(holder, id -> new HolderAllocation(0, Long.MAX_VALUE));
        if (request.sequence() <= account.sequence()) {
            return request.sequence() == account.sequence() ? account.lastGrant() : null;
        }
        unregistered.remove(holder);
        countSuccesses(request);
        account.credits(request.held());
        account.freeAt(now + expiryMillis());
        int limit = mayGrant ? limitFor(holder, request) : 0;
        account.credits(Math.max(request.held(), limit));
        CreditMessage.Grant grant =
                new CreditMessage.Grant(endpoint, term, request.sequence(), limit, mayGrant ? rules.leaseMillis() : 0);
        account.answered(grant, request.wanted() > limit);
        return grant;
    }

    void expire(long now) {
        free(accounts, now);
        free(unregistered, now);
    }

    /** Returns what each process may use, for a successor. */
    Map<HolderId, Integer> holdings() {
        Map<HolderId, Integer> holdings = new HashMap<>();
        unregistered.forEach((holder, account) -> holdings.put(holder, account.credits()));
        accounts.forEach((holder, account) -> holdings.merge(holder, account.credits(), Math::max));
        return holdings;
    }

    Set<HolderId> predecessors() {
        return Set.copyOf(predecessors);
    }

    long term() {
        return term;
    }

    int total() {
        return sum(accounts) + sum(unregistered);
    }

    private int limitFor(HolderId holder, CreditMessage.Request request) {
        int room = Math.min(concurrency, slowStart.limit()) - (total() - request.held());
        int limit = Math.min(request.wanted(), Math.min(room, rules.maxShare(concurrency)));
        int competitors = 1;
        for (Map.Entry<HolderId, HolderAllocation> entry : accounts.entrySet()) {
            if (!entry.getKey().equals(holder) && entry.getValue().wantsMore()) {
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
        long freeAt = now + expiryMillis();
        unregistered.values().forEach(account -> account.freeAt(Math.min(account.freeAt(), freeAt)));
    }

    /** Time after which a process that says nothing has no request left that its last grant may have started. */
    private long expiryMillis() {
        return CreditRules.withMargin(rules.leaseMillis() + rules.maxRequestMillis());
    }

    private static void free(Map<HolderId, HolderAllocation> map, long now) {
        Iterator<HolderAllocation> iterator = map.values().iterator();
        while (iterator.hasNext()) {
            if (iterator.next().freeAt() <= now) {
                iterator.remove();
            }
        }
    }

    private static int sum(Map<HolderId, HolderAllocation> map) {
        int sum = 0;
        for (HolderAllocation account : map.values()) {
            sum += account.credits();
        }
        return sum;
    }
}
