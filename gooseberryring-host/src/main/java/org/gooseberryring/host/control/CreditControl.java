package org.gooseberryring.host.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;

import org.gooseberryring.coordination.limit.KeeperChoice;
import org.gooseberryring.coordination.route.CreditCoordinator;
import org.gooseberryring.coordination.route.CreditMessage;
import org.gooseberryring.coordination.route.CreditRules;
import org.gooseberryring.coordination.route.HolderId;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.engine.RequestCredits;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FleetConfiguration;

/**
 * Runs the credit coordinators on the control thread and maintains the store object {@code credits/{domain}}.
 *
 * <p>At most one store call is in flight. This process coordinates an endpoint only after the store has confirmed a
 * document that names it, so an unknown outcome of a write is resolved by reading.
 */
public final class CreditControl {
    // Bounds how long credit holders send requests to an earlier coordinator.
    private static final long READ_INTERVAL_MILLIS = 2000;
    private static final long UNSETTLED_READ_INTERVAL_MILLIS = 250;
    // A host that is missing from the member list for a shorter time remains coordinator.
    private static final long ABSENCE_TIMEOUT_MILLIS = 5000;
    private static final long MIN_BACKOFF_MILLIS = 250;
    // The back-off grows up to this bound and differs by host, so that not all hosts return at once after an outage.
    private static final long MAX_BACKOFF_MILLIS = 10_000;

    private final HolderId self;
    private final String domain;
    private final String key;
    private final CreditCoordinator coordinator;
    private final long maxUseMillis;
    private final StoreCallExecutor store;
    private final ControlLoop control;
    private final RequestCredits requestCredits;
    private final BiConsumer<HolderId, CreditMessage.Grant> grants;
    private final JsonCreditCodec codec = new JsonCreditCodec();
    private final Map<String, Long> announcedTerms = new HashMap<>();
    private final Map<String, Long> absentSince = new HashMap<>();
    private final Map<HolderId, Long> supersededSince = new HashMap<>();
    private final Set<HolderId> rosterAdditions = new LinkedHashSet<>();
    private Map<String, Integer> concurrency = Map.of();
    private List<String> members = List.of();
    private CreditDocument document;
    private long version;
    private CreditDocument pendingWrite;
    private boolean inFlight;
    private long sentAt;
    private long nextReadAt = Long.MIN_VALUE;
    private long backoff;

    /**
     * Creates the credit coordinator of this process.
     *
     * @param requestCredits credits of this process, notified of coordinator changes
     * @param grants sends a grant to a process, which may be this one
     */
    public CreditControl(
            HolderId self,
            String failureDomain,
            CreditRules rules,
            StoreCallExecutor store,
            ControlLoop control,
            RequestCredits requestCredits,
            BiConsumer<HolderId, CreditMessage.Grant> grants) {
        this.self = self;
        this.domain = failureDomain;
        this.key = "credits/" + failureDomain;
        this.coordinator = new CreditCoordinator(self, rules);
        // The factor of two covers differences in clock rate between hosts.
        this.maxUseMillis = 2 * (rules.leaseMillis() + rules.maxRequestMillis());
        this.store = store;
        this.control = control;
        this.requestCredits = requestCredits;
        this.grants = grants;
    }

    /** Applies the endpoints of a configuration. */
    public void onConfiguration(FleetConfiguration configuration) {
        Map<String, Integer> adopted = new HashMap<>();
        for (Endpoint endpoint : configuration.endpoints().values()) {
            if (endpoint.failureDomain().equals(domain)) {
                adopted.put(endpoint.id(), endpoint.maxConcurrency());
                coordinator.configured(endpoint.id(), endpoint.maxConcurrency());
            }
        }
        concurrency = adopted;
    }

    /** Sets the live hosts of this failure domain, including this host. */
    public void onMembers(Collection<String> liveHosts) {
        members = List.copyOf(liveHosts);
    }

    /** Handles a request for credits. */
    public void onRequest(HolderId sender, CreditMessage.Request request, long now) {
        CreditMessage.Grant grant = coordinator.requested(sender, request, now);
        if (grant == null) {
            return;
        }
        if (coordinator.mustEnrol(sender)) {
            rosterAdditions.add(sender);
        }
        grants.accept(sender, grant);
    }

    /** Runs the work that is due at {@code now}. */
    public void tick(long now) {
        if (inFlight) {
            return;
        }
        if (now >= nextReadAt) {
            submit(new StoreRequest.Read(key), now);
        } else if (document != null && backoff == 0) {
            CreditDocument next = updatedDocument(now);
            if (!next.equals(document)) {
                pendingWrite = next;
                submit(new StoreRequest.Put(key, version, codec.encode(next)), now);
            }
        }
    }

    private static boolean isNewer(HolderId process, HolderId other) {
        return process.host().equals(other.host()) && process.incarnation() > other.incarnation();
    }

    private void submit(StoreRequest request, long now) {
        inFlight = true;
        sentAt = now;
        store.submit(request, reply -> control.put(later -> onReply(reply, later)));
    }

    private void onReply(StoreReply reply, long now) {
        inFlight = false;
        CreditDocument written = pendingWrite;
        pendingWrite = null;
        if (reply.outcome() == StoreOutcome.CONFLICT) {
            nextReadAt = now;
            return;
        }
        if (reply.outcome() == StoreOutcome.OK) {
            adopt(written != null ? written : codec.decode(reply.value()), reply.version(), now);
        } else if (reply.outcome() == StoreOutcome.ABSENT && written == null) {
            adopt(CreditDocument.empty(), StoreRequest.Put.ABSENT, now);
        } else {
            backoff = Math.min(MAX_BACKOFF_MILLIS, Math.max(MIN_BACKOFF_MILLIS, 2 * backoff));
            nextReadAt = now + backoff / 2 + Math.floorMod(self.hashCode() + 31 * now, backoff / 2);
        }
    }

    private void adopt(CreditDocument read, long readVersion, long now) {
        CreditDocument previous = document;
        document = read;
        version = readVersion;
        backoff = 0;
        read.roster().forEach(process -> coordinator.processSeen(process, now));
        coordinator.confirmed(sentAt, read.roster());
        read.roster().forEach(rosterAdditions::remove);
        supersededSince.keySet().retainAll(read.roster());
        for (HolderId process : read.roster()) {
            if (read.roster().stream().anyMatch(other -> isNewer(other, process))) {
                supersededSince.putIfAbsent(process, now);
            }
        }
        read.homes().forEach((endpoint, entry) -> {
            if (self.equals(entry.process())) {
                startCoordinating(endpoint, entry, now);
            } else {
                coordinator.retire(endpoint);
            }
            CreditDocument.Coordinator previousEntry =
                    previous == null ? null : previous.homes().get(endpoint);
            if (previousEntry != null) {
                previousEntry.predecessors().stream()
                        .filter(process -> !entry.predecessors().contains(process))
                        .forEach(process -> coordinator.predecessorStopped(endpoint, process, now));
            }
            announceCoordinator(endpoint, entry);
        });
        boolean settled = read.homes().keySet().containsAll(concurrency.keySet());
        nextReadAt = now + (settled ? READ_INTERVAL_MILLIS : UNSETTLED_READ_INTERVAL_MILLIS);
    }

    private void startCoordinating(String endpoint, CreditDocument.Coordinator entry, long now) {
        Integer requests = concurrency.get(endpoint);
        if (requests == null) {
            // Shares of earlier terms cannot be estimated without the concurrency; a later read tries again.
            return;
        }
        if (entry.term() == 1) {
            // No process can hold credits of an endpoint that never had a coordinator.
            coordinator.handedOver(endpoint, 1, requests, Map.of(), Set.of(), now);
        } else {
            coordinator.takeOver(endpoint, entry.term(), requests, document.roster(), entry.predecessors(), now);
        }
    }

    private void announceCoordinator(String endpoint, CreditDocument.Coordinator entry) {
        Long known = announcedTerms.get(endpoint);
        if (entry.process() != null && (known == null || known < entry.term())) {
            announcedTerms.put(endpoint, entry.term());
            requestCredits.onCoordinatorChanged(endpoint, entry.process(), entry.term());
        }
    }

    /** Returns the document with the changes that this process has to make. */
    private CreditDocument updatedDocument(long now) {
        SortedMap<String, CreditDocument.Coordinator> homes = new TreeMap<>(document.homes());
        homes.replaceAll((endpoint, entry) -> withoutSelf(entry));
        for (String endpoint : concurrency.keySet()) {
            CreditDocument.Coordinator entry = homes.get(endpoint);
            if (mustBecomeCoordinator(endpoint, entry, now)) {
                homes.put(endpoint, assignedToSelf(entry));
            }
        }
        List<HolderId> roster = new ArrayList<>(document.roster());
        // A newer process of the host has run long enough for the last request of the older one to have ended.
        roster.removeIf(process -> now - supersededSince.getOrDefault(process, now) > maxUseMillis);
        rosterAdditions.stream().filter(process -> !roster.contains(process)).forEach(roster::add);
        return new CreditDocument(homes, roster);
    }

    /**
     * Removes this process from the predecessors, as it has retired from every endpoint that the document assigns to
     * another process, see {@link #adopt}.
     */
    private CreditDocument.Coordinator withoutSelf(CreditDocument.Coordinator entry) {
        if (!entry.predecessors().contains(self)) {
            return entry;
        }
        List<HolderId> others = new ArrayList<>(entry.predecessors());
        others.remove(self);
        return new CreditDocument.Coordinator(entry.process(), entry.term(), others);
    }

    private boolean mustBecomeCoordinator(String endpoint, CreditDocument.Coordinator entry, long now) {
        HolderId process = entry == null ? null : entry.process();
        if (process != null) {
            if (process.host().equals(self.host())) {
                return process.incarnation() < self.incarnation();
            }
            if (members.contains(process.host())) {
                absentSince.remove(process.host());
                return false;
            }
            if (now - absentSince.computeIfAbsent(process.host(), host -> now) < ABSENCE_TIMEOUT_MILLIS) {
                return false;
            }
        }
        return !members.isEmpty() && KeeperChoice.rank(endpoint, members).get(0).equals(self.host());
    }

    private CreditDocument.Coordinator assignedToSelf(CreditDocument.Coordinator entry) {
        if (entry == null) {
            return new CreditDocument.Coordinator(self, 1, List.of());
        }
        Set<HolderId> predecessors = new LinkedHashSet<>(entry.predecessors());
        if (entry.process() != null) {
            predecessors.add(entry.process());
        }
        // Earlier processes of this host have ended.
        predecessors.removeIf(process -> process.host().equals(self.host()));
        return new CreditDocument.Coordinator(self, entry.term() + 1, new ArrayList<>(new HashSet<>(predecessors)));
    }
}
