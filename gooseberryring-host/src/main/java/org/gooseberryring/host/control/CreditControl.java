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
 * Runs the homes of credits on the control thread and keeps the store object {@code credits/{domain}}.
 *
 * <p>At most one store call is in flight. This process acts as home only after the store has shown it a document that
 * names it, so an unknown outcome is resolved by reading.
 */
public final class CreditControl {
    // Bounds how long a holder goes on asking a home that has moved.
    private static final long READ_MILLIS = 2000;
    private static final long UNSETTLED_READ_MILLIS = 250;
    // A host that is missing from the list for a moment keeps its endpoints.
    private static final long ABSENT_MILLIS = 5000;
    private static final long MIN_BACKOFF_MILLIS = 250;
    // After an outage all hosts would come back at once; the wait grows to this and differs by host.
    private static final long MAX_BACKOFF_MILLIS = 10_000;

    private final HolderId self;
    private final String domain;
    private final String key;
    private final CreditCoordinator home;
    private final long longestUseMillis;
    private final StoreCallExecutor store;
    private final ControlLoop control;
    private final RequestCredits holder;
    private final BiConsumer<HolderId, CreditMessage.Grant> grants;
    private final JsonCreditCodec codec = new JsonCreditCodec();
    private final Map<String, Long> announcedTerms = new HashMap<>();
    private final Map<String, Long> absentSince = new HashMap<>();
    private final Map<HolderId, Long> supersededSince = new HashMap<>();
    private final Set<HolderId> toEnrol = new LinkedHashSet<>();
    private Map<String, Integer> concurrency = Map.of();
    private List<String> members = List.of();
    private CreditDocument document;
    private long version;
    private CreditDocument proposed;
    private boolean inFlight;
    private long sentAt;
    private long nextReadAt = Long.MIN_VALUE;
    private long backoff;

    /**
     * Creates the homes of this process.
     *
     * @param holder credits of this process, which hears of the homes
     * @param grants sends a grant to a process, which may be this one
     */
    public CreditControl(
            HolderId self,
            String failureDomain,
            CreditRules rules,
            StoreCallExecutor store,
            ControlLoop control,
            RequestCredits holder,
            BiConsumer<HolderId, CreditMessage.Grant> grants) {
        this.self = self;
        this.domain = failureDomain;
        this.key = "credits/" + failureDomain;
        this.home = new CreditCoordinator(self, rules);
        // Twice the time, which covers the difference of clock rates between hosts.
        this.longestUseMillis = 2 * (rules.leaseMillis() + rules.maxRequestMillis());
        this.store = store;
        this.control = control;
        this.holder = holder;
        this.grants = grants;
    }

    /** Takes over the endpoints of a configuration. */
    public void configured(FleetConfiguration configuration) {
        Map<String, Integer> adopted = new HashMap<>();
        for (Endpoint endpoint : configuration.endpoints().values()) {
            if (endpoint.failureDomain().equals(domain)) {
                adopted.put(endpoint.id(), endpoint.maxConcurrency());
                home.configured(endpoint.id(), endpoint.maxConcurrency());
            }
        }
        concurrency = adopted;
    }

    /** Takes over the live hosts of this failure domain, this host included. */
    public void members(Collection<String> liveHosts) {
        members = List.copyOf(liveHosts);
    }

    /** Takes a request for credits. */
    public void requested(HolderId sender, CreditMessage.Request request, long now) {
        CreditMessage.Grant grant = home.requested(sender, request, now);
        if (grant == null) {
            return;
        }
        if (home.mustEnrol(sender)) {
            toEnrol.add(sender);
        }
        grants.accept(sender, grant);
    }

    /** Lets time pass. */
    public void tick(long now) {
        if (inFlight) {
            return;
        }
        if (now >= nextReadAt) {
            call(new StoreRequest.Read(key), now);
        } else if (document != null && backoff == 0) {
            CreditDocument next = next(now);
            if (!next.equals(document)) {
                proposed = next;
                call(new StoreRequest.Put(key, version, codec.encode(next)), now);
            }
        }
    }

    private static boolean isNewer(HolderId process, HolderId other) {
        return process.host().equals(other.host()) && process.incarnation() > other.incarnation();
    }

    private void call(StoreRequest request, long now) {
        inFlight = true;
        sentAt = now;
        store.submit(request, reply -> control.put(later -> replied(reply, later)));
    }

    private void replied(StoreReply reply, long now) {
        inFlight = false;
        CreditDocument written = proposed;
        proposed = null;
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
        CreditDocument last = document;
        document = read;
        version = readVersion;
        backoff = 0;
        read.roster().forEach(process -> home.processSeen(process, now));
        home.confirmed(sentAt, read.roster());
        read.roster().forEach(toEnrol::remove);
        supersededSince.keySet().retainAll(read.roster());
        for (HolderId process : read.roster()) {
            if (read.roster().stream().anyMatch(other -> isNewer(other, process))) {
                supersededSince.putIfAbsent(process, now);
            }
        }
        read.homes().forEach((endpoint, entry) -> {
            if (self.equals(entry.process())) {
                become(endpoint, entry, now);
            } else {
                home.retire(endpoint);
            }
            CreditDocument.Home before = last == null ? null : last.homes().get(endpoint);
            if (before != null) {
                before.predecessors().stream()
                        .filter(process -> !entry.predecessors().contains(process))
                        .forEach(process -> home.predecessorStopped(endpoint, process, now));
            }
            announce(endpoint, entry);
        });
        boolean settled = read.homes().keySet().containsAll(concurrency.keySet());
        nextReadAt = now + (settled ? READ_MILLIS : UNSETTLED_READ_MILLIS);
    }

    private void become(String endpoint, CreditDocument.Home entry, long now) {
        Integer requests = concurrency.get(endpoint);
        if (requests == null) {
            // Shares of earlier terms cannot be estimated without the concurrency; a later read comes here again.
            return;
        }
        if (entry.term() == 1) {
            // Nobody can hold credits of an endpoint that never had a home.
            home.handedOver(endpoint, 1, requests, Map.of(), Set.of(), now);
        } else {
            home.takeOver(endpoint, entry.term(), requests, document.roster(), entry.predecessors(), now);
        }
    }

    private void announce(String endpoint, CreditDocument.Home entry) {
        Long known = announcedTerms.get(endpoint);
        if (entry.process() != null && (known == null || known < entry.term())) {
            announcedTerms.put(endpoint, entry.term());
            holder.onCoordinatorChanged(endpoint, entry.process(), entry.term());
        }
    }

    /** Returns the document with what this process has to change in it. */
    private CreditDocument next(long now) {
        SortedMap<String, CreditDocument.Home> homes = new TreeMap<>(document.homes());
        homes.replaceAll((endpoint, entry) -> withoutSelf(entry));
        for (String endpoint : concurrency.keySet()) {
            CreditDocument.Home entry = homes.get(endpoint);
            if (mustTake(endpoint, entry, now)) {
                homes.put(endpoint, taken(entry));
            }
        }
        List<HolderId> roster = new ArrayList<>(document.roster());
        // A newer process of the host has run for so long that the last request of the older one has ended.
        roster.removeIf(process -> now - supersededSince.getOrDefault(process, now) > longestUseMillis);
        toEnrol.stream().filter(process -> !roster.contains(process)).forEach(roster::add);
        return new CreditDocument(homes, roster);
    }

    /** This process has retired from every endpoint whose home is another by the document, see {@link #adopt}. */
    private CreditDocument.Home withoutSelf(CreditDocument.Home entry) {
        if (!entry.predecessors().contains(self)) {
            return entry;
        }
        List<HolderId> others = new ArrayList<>(entry.predecessors());
        others.remove(self);
        return new CreditDocument.Home(entry.process(), entry.term(), others);
    }

    private boolean mustTake(String endpoint, CreditDocument.Home entry, long now) {
        HolderId process = entry == null ? null : entry.process();
        if (process != null) {
            if (process.host().equals(self.host())) {
                return process.incarnation() < self.incarnation();
            }
            if (members.contains(process.host())) {
                absentSince.remove(process.host());
                return false;
            }
            if (now - absentSince.computeIfAbsent(process.host(), host -> now) < ABSENT_MILLIS) {
                return false;
            }
        }
        return !members.isEmpty() && KeeperChoice.rank(endpoint, members).get(0).equals(self.host());
    }

    private CreditDocument.Home taken(CreditDocument.Home entry) {
        if (entry == null) {
            return new CreditDocument.Home(self, 1, List.of());
        }
        Set<HolderId> predecessors = new LinkedHashSet<>(entry.predecessors());
        if (entry.process() != null) {
            predecessors.add(entry.process());
        }
        // Older processes of this host have ended.
        predecessors.removeIf(process -> process.host().equals(self.host()));
        return new CreditDocument.Home(self, entry.term() + 1, new ArrayList<>(new HashSet<>(predecessors)));
    }
}
