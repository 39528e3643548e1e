package org.gooseberryring.coordination.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Grants the concurrency credits of the endpoints that this process coordinates.
 *
 * <p>The store object {@code credits/{domain}} records for each endpoint the coordinator, its term, the earlier
 * coordinators that are not known to have stopped, and the roster: the processes that may have credits. A process
 * becomes coordinator by a conditional update that increments the term. A process is added to the roster by a
 * conditional update before its first credit. A coordinator that restarts after a crash has lost its allocations and
 * must take over in a new term.
 *
 * <p>A new coordinator must assume that each process on the roster has the largest share, until that process has sent
 * it a request in the new term, or until all earlier coordinators have stopped and the lease and the longest request
 * time have passed.
 */
public final class CreditCoordinator {
    private final HolderId self;
    private final CreditRules rules;
    private final Map<String, EndpointCreditAllocator> allocators = new LinkedHashMap<>();
    private final Map<String, Long> newestIncarnations = new HashMap<>();
    private final Map<String, Long> newestTerms = new HashMap<>();
    private Set<HolderId> roster = Set.of();
    private long confirmedAt = Long.MIN_VALUE / 2;

    /**
     * Creates a coordinator of no endpoint.
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
     * Becomes coordinator of an endpoint after the store has recorded it; a term that is not new is ignored.
     *
     * @param endpoint endpoint
     * @param term term that the store recorded
     * @param concurrency requests that the endpoint can run at once
     * @param recordedRoster processes that may have credits from earlier terms
     * @param predecessors earlier coordinators that are not known to have stopped
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

    /**
     * Becomes coordinator of an endpoint with the allocations that its last coordinator handed over; see {@link
     * #retire}.
     */
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
        EndpointCreditAllocator allocator =
                new EndpointCreditAllocator(endpoint, term, concurrency, rules, holdings, others, now);
        allocators.put(endpoint, allocator);
        endOldProcesses(allocator, now);
    }

    /**
     * Permanently stops granting credits of an endpoint, before a hand-over or because the store records another
     * coordinator.
     *
     * @return credits that each process may have; empty if this process is not the coordinator
     */
    public Map<HolderId, Integer> retire(String endpoint) {
        EndpointCreditAllocator allocator = allocators.remove(endpoint);
        return allocator == null ? Map.of() : allocator.holdings();
    }

    /** Handles the end of an earlier coordinator: it reported so itself, or a newer process of its host runs. */
    public void predecessorStopped(String endpoint, HolderId predecessor, long now) {
        EndpointCreditAllocator allocator = allocators.get(endpoint);
        if (allocator != null) {
            allocator.predecessorStopped(predecessor, now);
        }
    }

    /**
     * Records that the store confirmed the terms of this process.
     *
     * @param sentAt time at which the read was sent
     * @param recordedRoster roster that it returned
     */
    public void confirmed(long sentAt, Collection<HolderId> recordedRoster) {
        confirmedAt = Math.max(confirmedAt, sentAt);
        roster = Set.copyOf(recordedRoster);
    }

    /** Applies a change of an endpoint's concurrency. */
    public void configured(String endpoint, int concurrency) {
        EndpointCreditAllocator allocator = allocators.get(endpoint);
        if (allocator != null) {
            allocator.concurrency(concurrency);
        }
    }

    /** Restarts the slow start of an endpoint that has restarted. */
    public void endpointRestarted(String endpoint) {
        EndpointCreditAllocator allocator = allocators.get(endpoint);
        if (allocator != null) {
            allocator.restarted();
        }
    }

    /** Records that a process of a host is alive, which implies that older processes of the host have ended. */
    public void processSeen(HolderId process, long now) {
        Long known = newestIncarnations.get(process.host());
        if (known != null && known >= process.incarnation()) {
            return;
        }
        newestIncarnations.put(process.host(), process.incarnation());
        allocators.values().forEach(allocator -> endOldProcesses(allocator, now));
    }

    /** Returns whether the process must be added to the roster in the store before it can be granted credits. */
    public boolean mustEnrol(HolderId process) {
        return !roster.contains(process);
    }

    /**
     * Handles a request for credits.
     *
     * @return grant to send back, or null if the request is outdated or meant for another coordinator
     */
    public CreditMessage.Grant requested(HolderId sender, CreditMessage.Request request, long now) {
        processSeen(sender, now);
        EndpointCreditAllocator allocator = allocators.get(request.endpoint());
        boolean isNewest = newestIncarnations.get(sender.host()) == sender.incarnation();
        if (allocator == null || allocator.term() != request.term() || !isNewest) {
            return null;
        }
        boolean confirmed = now - confirmedAt < rules.reclaimAfterMillis();
        return allocator.requested(sender, request, confirmed && roster.contains(sender), now);
    }

    /** Returns the credits that processes may use at an endpoint, 0 if this process is not its coordinator. */
    public int outstanding(String endpoint) {
        EndpointCreditAllocator allocator = allocators.get(endpoint);
        return allocator == null ? 0 : allocator.total();
    }

    private void endOldProcesses(EndpointCreditAllocator allocator, long now) {
        for (HolderId holder : allocator.holdings().keySet()) {
            if (hasEnded(holder)) {
                allocator.processEnded(holder, now);
            }
        }
        for (HolderId predecessor : allocator.predecessors()) {
            if (hasEnded(predecessor)) {
                allocator.predecessorStopped(predecessor, now);
            }
        }
    }

    private boolean hasEnded(HolderId process) {
        Long newest = newestIncarnations.get(process.host());
        return newest != null && newest > process.incarnation();
    }
}
