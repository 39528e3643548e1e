package org.gooseberryring.coordination.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Grants the concurrency credits of the endpoints whose home is this process.
 *
 * <p>The store object {@code credits/{domain}} records for each endpoint the home, its term, the earlier homes that are
 * not known to have stopped, and the roster: the processes that may hold credits. A process becomes home by a
 * conditional update that raises the term, and a process is put on the roster by a conditional update before its first
 * credit. A home that starts again after a crash has lost its accounts and must take over in a new term.
 *
 * <p>A new home must assume that each process on the roster holds the largest share, until that process has sent it a
 * request in the new term, or until all earlier homes have stopped and the lease and the longest request have passed.
 */
public final class CreditCoordinator {
    private final HolderId self;
    private final CreditRules rules;
    private final Map<String, EndpointCreditAllocator> homes = new LinkedHashMap<>();
    private final Map<String, Long> newestIncarnations = new HashMap<>();
    private final Map<String, Long> newestTerms = new HashMap<>();
    private Set<HolderId> roster = Set.of();
    private long confirmedAt = Long.MIN_VALUE / 2;

    /**
     * Creates a process that is home of no endpoint.
     *
     * @param self this process
     * @param rules times and shares, equal on all hosts
     */
    public CreditCoordinator(HolderId self, CreditRules rules) {
        this.self = self;
        this.rules = rules;
        newestIncarnations.put(self.host(), self.incarnation());
    }

    /**
     * Becomes home of an endpoint after the store has recorded it; a term that is not new is ignored.
     *
     * @param endpoint endpoint
     * @param term term that the store recorded
     * @param concurrency requests that the endpoint can run at once
     * @param recordedRoster processes that may hold credits from earlier terms
     * @param predecessors earlier homes that are not known to have stopped
     * @param now monotonic time in milliseconds
     */
    public void takeOver(
            String endpoint,
            long term,
            int concurrency,
            Collection<HolderId> recordedRoster,
            Collection<HolderId> predecessors,
            long now) {
        Map<HolderId, Integer> unregistered = new HashMap<>();
        recordedRoster.forEach(holder -> unregistered.put(holder, rules.maxShare(concurrency)));
        handedOver(endpoint, term, concurrency, unregistered, predecessors, now);
    }

    /** Becomes home of an endpoint with the accounts that its last home gave up; see {@link #retire}. */
    public void handedOver(
            String endpoint,
            long term,
            int concurrency,
            Map<HolderId, Integer> holdings,
            Collection<HolderId> predecessors,
            long now) {
        if (term <= newestTerms.getOrDefault(endpoint, 0L)) {
            return;
        }
        newestTerms.put(endpoint, term);
        Set<HolderId> others = new HashSet<>(predecessors);
        others.remove(self);
        EndpointCreditAllocator home =
                new EndpointCreditAllocator(endpoint, term, concurrency, rules, holdings, others, now);
        homes.put(endpoint, home);
        endOldProcesses(home, now);
    }

    /**
     * Stops granting credits of an endpoint for good, before a hand-over or because the store records another home.
     *
     * @return what each process may hold; empty if this process is not its home
     */
    public Map<HolderId, Integer> retire(String endpoint) {
        EndpointCreditAllocator home = homes.remove(endpoint);
        return home == null ? Map.of() : home.holdings();
    }

    /** An earlier home has stopped: it said so itself, or a newer process of its host runs. */
    public void predecessorStopped(String endpoint, HolderId predecessor, long now) {
        EndpointCreditAllocator home = homes.get(endpoint);
        if (home != null) {
            home.predecessorStopped(predecessor, now);
        }
    }

    /**
     * The store confirmed the terms of this process.
     *
     * @param sentAt time at which the read was sent
     * @param recordedRoster roster that it returned
     */
    public void confirmed(long sentAt, Collection<HolderId> recordedRoster) {
        confirmedAt = Math.max(confirmedAt, sentAt);
        roster = Set.copyOf(recordedRoster);
    }

    /** Takes over a change of an endpoint's concurrency. */
    public void configured(String endpoint, int concurrency) {
        EndpointCreditAllocator home = homes.get(endpoint);
        if (home != null) {
            home.concurrency(concurrency);
        }
    }

    /** An endpoint restarted, so its slow start begins again. */
    public void endpointRestarted(String endpoint) {
        EndpointCreditAllocator home = homes.get(endpoint);
        if (home != null) {
            home.restarted();
        }
    }

    /** A process of a host is alive; older processes of the host are not. */
    public void processSeen(HolderId process, long now) {
        Long known = newestIncarnations.get(process.host());
        if (known != null && known >= process.incarnation()) {
            return;
        }
        newestIncarnations.put(process.host(), process.incarnation());
        homes.values().forEach(home -> endOldProcesses(home, now));
    }

    /** Returns whether the process must be put on the roster in the store before it can be granted credits. */
    public boolean mustEnrol(HolderId process) {
        return !roster.contains(process);
    }

    /**
     * Answers a request for credits.
     *
     * @return grant to send back, or null if the request is late or meant for another home
     */
    public CreditMessage.Grant requested(HolderId sender, CreditMessage.Request request, long now) {
        processSeen(sender, now);
        EndpointCreditAllocator home = homes.get(request.endpoint());
        boolean isNewest = newestIncarnations.get(sender.host()) == sender.incarnation();
        if (home == null || home.term() != request.term() || !isNewest) {
            return null;
        }
        boolean confirmed = now - confirmedAt < rules.reclaimAfterMillis();
        return home.requested(sender, request, confirmed && roster.contains(sender), now);
    }

    /** Returns the credits that processes may use at an endpoint, 0 if this process is not its home. */
    public int outstanding(String endpoint) {
        EndpointCreditAllocator home = homes.get(endpoint);
        return home == null ? 0 : home.total();
    }

    private void endOldProcesses(EndpointCreditAllocator home, long now) {
        for (HolderId holder : home.holdings().keySet()) {
            if (hasEnded(holder)) {
                home.processEnded(holder, now);
            }
        }
        for (HolderId predecessor : home.predecessors()) {
            if (hasEnded(predecessor)) {
                home.predecessorStopped(predecessor, now);
            }
        }
    }

    private boolean hasEnded(HolderId process) {
        Long newest = newestIncarnations.get(process.host());
        return newest != null && newest > process.incarnation();
    }
}
