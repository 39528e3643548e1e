package org.gooseberryring.coordination.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.membership.Rendezvous;
import org.gooseberryring.coordination.retry.Backoff;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.state.FleetConfiguration;

/**
 * Brings every revision of the configuration to this host.
 *
 * <p>A few relays in each failure domain hold a watch in the store; the others learn the revision from probes and ask
 * the peer that has a newer one. A host that has no confirmation for a while polls; the polls of a failure domain
 * together keep to a fixed rate, so that the load on the store does not grow with the number of hosts.
 */
public final class ConfigurationFeed {
    private static final String ROLE = "configuration-relay/";
    private static final long NONE = -1;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String self;
    private final String failureDomain;
    private final FeedSettings settings;
    private final ConfigurationTracker holder;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final DeltaHistory history = new DeltaHistory();
    private final Map<String, Long> newerPeers = new TreeMap<>();
    private SortedMap<String, TreeSet<String>> hostsByDomain = new TreeMap<>();
    private SortedMap<String, List<String>> relaysByDomain = new TreeMap<>();
    private boolean relay;
    private long version;
    private long callId;
    private long callSentAt = NONE;
    private long nextCallAt;
    private long nextPollAt;
    private String asked;
    private long askedAt;

    /** Creates the feed of a host that knows no peers yet. */
    public ConfigurationFeed(
            String self,
            String failureDomain,
            FeedSettings settings,
            ConfigurationTracker holder,
            RandomGenerator random,
            long now) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.settings = settings;
        this.holder = holder;
        this.random = random;
        this.backoff = new Backoff(settings.minRetryMillis(), settings.maxRetryMillis(), random);
        onMembersChanged(List.of(), now);
    }

    /** Returns whether this host holds a watch for its failure domain. */
    public boolean isRelay() {
        return relay;
    }

    /** Takes the live hosts of all failure domains, as far as they are known. */
    public List<FeedEffect> onMembersChanged(Collection<FeedMember> members, long now) {
        hostsByDomain = new TreeMap<>();
        hostsByDomain.computeIfAbsent(failureDomain, k -> new TreeSet<>()).add(self);
        for (FeedMember m : members) {
            hostsByDomain
                    .computeIfAbsent(m.failureDomain(), k -> new TreeSet<>())
                    .add(m.host());
        }
        relaysByDomain = new TreeMap<>();
        hostsByDomain.forEach(
                (domain, hosts) -> relaysByDomain.put(domain, Rendezvous.top(hosts, ROLE + domain, settings.relays())));
        boolean wasRelay = relay;
        relay = relaysByDomain.get(failureDomain).contains(self);
        if (relay && !wasRelay) {
            // A changed view of the members can make many hosts relays at once; the delay spreads their first calls.
            nextCallAt = Math.max(nextCallAt, now + random.nextLong(pollWindow()));
        }
        if (nextPollAt == 0) {
            nextPollAt = now + 1 + random.nextLong(pollWindow());
        }
        return List.of();
    }

    /** Sends what is due; called several times a second. */
    public List<FeedEffect> onTick(long now) {
        List<FeedEffect> effects = new ArrayList<>();
        expire(now);
        askNext(effects, now);
        if (callSentAt == NONE && relay && now >= nextCallAt) {
            effects.add(watch(settings.watchMillis(), now));
        } else if (callSentAt == NONE && !relay && now >= nextPollAt && now >= nextCallAt) {
            if (holder.confirmationAgeMillis(now) >= settings.pollAfterMillis()) {
                effects.add(watch(0, now));
            }
            nextPollAt = now + pollWindow() / 2 + random.nextLong(pollWindow());
        }
        return effects;
    }

    /**
     * Handles the reply to a watch.
     *
     * @param id number of the call
     * @param outcome OK with a document, OK without one if nothing changed, ABSENT, or a failure
     * @param newVersion version of the document
     * @param head document, or null if nothing changed
     * @param now monotonic time in milliseconds
     */
    public List<FeedEffect> onStoreReply(long id, StoreOutcome outcome, long newVersion, HeadDocument head, long now) {
        if (id != callId || callSentAt == NONE) {
            return onLateReply(outcome, newVersion, head, now);
        }
        long sentAt = callSentAt;
        if (outcome != StoreOutcome.OK && outcome != StoreOutcome.ABSENT) {
            failed(now);
            return List.of();
        }
        callSentAt = NONE;
        backoff.reset();
        boolean newer = head != null && newVersion > version;
        boolean empty = now - sentAt < settings.minRetryMillis() && !newer;
        nextCallAt = empty ? now + settings.minRetryMillis() : now;
        List<FeedEffect> effects = onLateReply(outcome, newVersion, head, now);
        long revision = head == null ? holder.revision() : head.configuration().revision();
        if (revision >= holder.revision()) {
            holder.confirm(revision, sentAt);
        }
        return effects;
    }

    /** Takes a head document that this host committed or read for another reason. */
    public List<FeedEffect> onHead(long newVersion, HeadDocument head, long now) {
        return onLateReply(StoreOutcome.OK, newVersion, head, now);
    }

    /** Handles the revision in a probe or in the reply to one. */
    public List<FeedEffect> onPeerRevision(String host, long revision, long now) {
        List<FeedEffect> effects = new ArrayList<>();
        if (revision > holder.revision()) {
            newerPeers.put(host, revision);
            askNext(effects, now);
        }
        return effects;
    }

    /**
     * Handles the confirmation in a reply to a probe of this host.
     *
     * @param revision revision of the peer
     * @param ageMillis age of the peer's confirmation when it replied
     * @param sentAt time at which this host sent the probe; a reply that is delivered late must not count as new
     */
    public void onPeerConfirmation(long revision, long ageMillis, long sentAt) {
        if (ageMillis != Long.MAX_VALUE) {
            holder.confirm(revision, sentAt - ageMillis);
        }
    }

    /** Handles a configuration request of a peer. */
    public List<FeedEffect> onPeerRequest(String host, long knownRevision, long now) {
        FleetConfiguration current = holder.current();
        long age = holder.confirmationAgeMillis(now);
        if (knownRevision >= current.revision()) {
            return List.of(new FeedEffect.Reply(host, new ConfigurationUpdate(current.revision(), age, null, null)));
        }
        ConfigurationDelta delta = history.from(knownRevision, current.revision());
        FleetConfiguration full = delta == null ? current : null;
        return List.of(new FeedEffect.Reply(host, new ConfigurationUpdate(current.revision(), age, full, delta)));
    }

    /** Handles the answer of a peer to a configuration request. */
    public List<FeedEffect> onPeerReply(String host, ConfigurationUpdate update, long now) {
        List<FeedEffect> effects = new ArrayList<>();
        if (update.full() != null) {
            adopt(update.full(), effects);
        } else if (update.delta() != null && update.delta().fromRevision() == holder.revision()) {
            adopt(update.delta().applyTo(holder.current()), effects);
        }
        if (host.equals(asked)) {
            onPeerConfirmation(update.revision(), update.confirmationAgeMillis(), askedAt);
            newerPeers.remove(host);
            asked = null;
        }
        askNext(effects, now);
        return effects;
    }

    private List<FeedEffect> onLateReply(StoreOutcome outcome, long newVersion, HeadDocument head, long now) {
        List<FeedEffect> effects = new ArrayList<>();
        if (outcome == StoreOutcome.OK && head != null) {
            version = Math.max(version, newVersion);
            adopt(head.configuration(), effects);
            askNext(effects, now);
        }
        return effects;
    }

    private void adopt(FleetConfiguration configuration, List<FeedEffect> effects) {
        FleetConfiguration before = holder.current();
        if (!holder.adoptIfNewer(configuration)) {
            return;
        }
        history.add(before, configuration);
        newerPeers.values().removeIf(r -> r <= configuration.revision());
        effects.add(new FeedEffect.Adopted(configuration));
        List<String> told = peersToTell();
        if (!told.isEmpty()) {
            effects.add(new FeedEffect.Announce(told));
        }
    }

    /** A relay also tells the relays of the other failure domains, which may be cut off from the store. */
    private List<String> peersToTell() {
        List<String> peers = new ArrayList<>(hostsByDomain.get(failureDomain));
        peers.remove(self);
        List<String> told = new ArrayList<>();
        while (told.size() < settings.fanOut() && !peers.isEmpty()) {
            told.add(peers.remove(random.nextInt(peers.size())));
        }
        if (relay) {
            relaysByDomain.forEach((domain, relays) -> {
                if (!domain.equals(failureDomain)) {
                    told.addAll(relays);
                }
            });
        }
        return told;
    }

    /** Gives up calls whose reply is overdue. */
    private void expire(long now) {
        if (asked != null && now - askedAt >= settings.peerTimeoutMillis()) {
            newerPeers.remove(asked);
            asked = null;
        }
        if (callSentAt != NONE && now - callSentAt >= 2 * settings.watchMillis()) {
            failed(now);
        }
    }

    private void askNext(List<FeedEffect> effects, long now) {
        if (asked != null) {
            return;
        }
        String best = null;
        for (Map.Entry<String, Long> peer : newerPeers.entrySet()) {
            if (peer.getValue() > holder.revision() && (best == null || peer.getValue() > newerPeers.get(best))) {
                best = peer.getKey();
            }
        }
        if (best != null) {
            asked = best;
            askedAt = now;
            effects.add(new FeedEffect.RequestConfiguration(best, holder.revision()));
        }
    }

    private FeedEffect watch(long waitMillis, long now) {
        callSentAt = now;
        return new FeedEffect.Watch(version, waitMillis, ++callId);
    }

    private void failed(long now) {
        callSentAt = NONE;
        nextCallAt = now + backoff.next();
    }

    /** Returns the time in which each host of the failure domain may poll once, in milliseconds. */
    private long pollWindow() {
        int hosts = hostsByDomain.get(failureDomain).size();
        return Math.max(1, Math.round(MILLIS_PER_SECOND * hosts / settings.pollsPerSecond()));
    }
}
