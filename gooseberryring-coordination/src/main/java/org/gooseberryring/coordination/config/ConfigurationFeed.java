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
 * Keeps the configuration of this host up to date.
 *
 * <p>A few relays in each failure domain watch the configuration in the store. The other hosts learn the revision from
 * probes and request the configuration from a peer that has a newer one. A host whose last confirmation is too old
 * polls the store. All hosts of a failure domain together poll at a fixed rate, so that the load on the store does not
 * grow with the number of hosts.
 */
public final class ConfigurationFeed {
    private static final String RELAY_ROLE = "configuration-relay/";
    private static final long NOT_SENT = -1;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final String self;
    private final String failureDomain;
    private final FeedSettings settings;
    private final ConfigurationTracker tracker;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final DeltaHistory history = new DeltaHistory();
    private final Map<String, Long> newerPeers = new TreeMap<>();
    private SortedMap<String, TreeSet<String>> hostsByDomain = new TreeMap<>();
    private SortedMap<String, List<String>> relaysByDomain = new TreeMap<>();
    private boolean relay;
    private long version;
    private long callId;
    private long callSentAt = NOT_SENT;
    private long nextCallAt;
    private long nextPollAt;
    private String requestedPeer;
    private long requestedAt;

    /** Creates a feed without known peers. */
    public ConfigurationFeed(
            String self,
            String failureDomain,
            FeedSettings settings,
            ConfigurationTracker tracker,
            RandomGenerator random,
            long now) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.settings = settings;
        this.tracker = tracker;
        this.random = random;
        this.backoff = new Backoff(settings.minRetryMillis(), settings.maxRetryMillis(), random);
        onMembersChanged(List.of(), now);
    }

    /** Returns whether this host is a relay of its failure domain and watches the store. */
    public boolean isRelay() {
        return relay;
    }

    /** Updates the known live hosts of all failure domains. */
    public List<FeedEffect> onMembersChanged(Collection<FeedMember> members, long now) {
        hostsByDomain = new TreeMap<>();
        hostsByDomain.computeIfAbsent(failureDomain, k -> new TreeSet<>()).add(self);
        for (FeedMember m : members) {
            hostsByDomain
                    .computeIfAbsent(m.failureDomain(), k -> new TreeSet<>())
                    .add(m.host());
        }
        relaysByDomain = new TreeMap<>();
        hostsByDomain.forEach((domain, hosts) ->
                relaysByDomain.put(domain, Rendezvous.top(hosts, RELAY_ROLE + domain, settings.relays())));
        boolean wasRelay = relay;
        relay = relaysByDomain.get(failureDomain).contains(self);
        if (relay && !wasRelay) {
            // A membership change can make many hosts relays at once; a random delay spreads their first calls.
            nextCallAt = Math.max(nextCallAt, now + random.nextLong(pollWindow()));
        }
        if (nextPollAt == 0) {
            nextPollAt = now + 1 + random.nextLong(pollWindow());
        }
        return List.of();
    }

    /** Starts the calls and requests that are due. Must be called several times a second. */
    public List<FeedEffect> onTick(long now) {
        List<FeedEffect> effects = new ArrayList<>();
        expireCalls(now);
        requestFromNewestPeer(effects, now);
        if (callSentAt == NOT_SENT && relay && now >= nextCallAt) {
            effects.add(watch(settings.watchMillis(), now));
        } else if (callSentAt == NOT_SENT && !relay && now >= nextPollAt && now >= nextCallAt) {
            if (tracker.confirmationAgeMillis(now) >= settings.pollAfterMillis()) {
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
     * @param outcome OK with a document, OK without a document if nothing changed, ABSENT, or a failure
     * @param newVersion version of the document
     * @param head document, or null if nothing changed
     * @param now monotonic time in milliseconds
     */
    public List<FeedEffect> onStoreReply(long id, StoreOutcome outcome, long newVersion, HeadDocument head, long now) {
        if (id != callId || callSentAt == NOT_SENT) {
            return adoptFromStore(outcome, newVersion, head, now);
        }
        long sentAt = callSentAt;
        if (outcome != StoreOutcome.OK && outcome != StoreOutcome.ABSENT) {
            onCallFailed(now);
            return List.of();
        }
        callSentAt = NOT_SENT;
        backoff.reset();
        boolean newer = head != null && newVersion > version;
        boolean returnedEarly = now - sentAt < settings.minRetryMillis() && !newer;
        nextCallAt = returnedEarly ? now + settings.minRetryMillis() : now;
        List<FeedEffect> effects = adoptFromStore(outcome, newVersion, head, now);
        long revision = head == null ? tracker.revision() : head.configuration().revision();
        if (revision >= tracker.revision()) {
            tracker.confirm(revision, sentAt);
        }
        return effects;
    }

    /** Handles a head document that this host committed or read outside of a watch. */
    public List<FeedEffect> onHead(long newVersion, HeadDocument head, long now) {
        return adoptFromStore(StoreOutcome.OK, newVersion, head, now);
    }

    /** Handles the revision that a peer sent in a probe or a probe reply. */
    public List<FeedEffect> onPeerRevision(String host, long revision, long now) {
        List<FeedEffect> effects = new ArrayList<>();
        if (revision > tracker.revision()) {
            newerPeers.put(host, revision);
            requestFromNewestPeer(effects, now);
        }
        return effects;
    }

    /**
     * Handles the confirmation that a peer sent in its reply to a request or probe of this host.
     *
     * @param revision revision of the peer
     * @param ageMillis age of the peer's confirmation when it replied
     * @param sentAt time at which this host sent the message; the age counts from then, so that a delayed reply does
     *     not make the confirmation appear newer than it is
     */
    public void onPeerConfirmation(long revision, long ageMillis, long sentAt) {
        if (ageMillis != Long.MAX_VALUE) {
            tracker.confirm(revision, sentAt - ageMillis);
        }
    }

    /** Handles a configuration request of a peer. */
    public List<FeedEffect> onPeerRequest(String host, long knownRevision, long now) {
        FleetConfiguration current = tracker.current();
        long age = tracker.confirmationAgeMillis(now);
        if (knownRevision >= current.revision()) {
            return List.of(new FeedEffect.Reply(host, new ConfigurationUpdate(current.revision(), age, null, null)));
        }
        ConfigurationDelta delta = history.from(knownRevision, current.revision());
        FleetConfiguration full = delta == null ? current : null;
        return List.of(new FeedEffect.Reply(host, new ConfigurationUpdate(current.revision(), age, full, delta)));
    }

    /** Handles the reply of a peer to a configuration request. */
    public List<FeedEffect> onPeerReply(String host, ConfigurationUpdate update, long now) {
        List<FeedEffect> effects = new ArrayList<>();
        if (update.full() != null) {
            adopt(update.full(), effects);
        } else if (update.delta() != null && update.delta().fromRevision() == tracker.revision()) {
            adopt(update.delta().applyTo(tracker.current()), effects);
        }
        if (host.equals(requestedPeer)) {
            onPeerConfirmation(update.revision(), update.confirmationAgeMillis(), requestedAt);
            newerPeers.remove(host);
            requestedPeer = null;
        }
        requestFromNewestPeer(effects, now);
        return effects;
    }

    private List<FeedEffect> adoptFromStore(StoreOutcome outcome, long newVersion, HeadDocument head, long now) {
        List<FeedEffect> effects = new ArrayList<>();
        if (outcome == StoreOutcome.OK && head != null) {
            version = Math.max(version, newVersion);
            adopt(head.configuration(), effects);
            requestFromNewestPeer(effects, now);
        }
        return effects;
    }

    private void adopt(FleetConfiguration configuration, List<FeedEffect> effects) {
        FleetConfiguration before = tracker.current();
        if (!tracker.adoptIfNewer(configuration)) {
            return;
        }
        history.add(before, configuration);
        newerPeers.values().removeIf(r -> r <= configuration.revision());
        effects.add(new FeedEffect.Adopted(configuration));
        List<String> recipients = choosePeersToNotify();
        if (!recipients.isEmpty()) {
            effects.add(new FeedEffect.Announce(recipients));
        }
    }

    /**
     * Chooses random peers of this failure domain. A relay also notifies the relays of the other failure domains, which
     * may be cut off from the store.
     */
    private List<String> choosePeersToNotify() {
        List<String> peers = new ArrayList<>(hostsByDomain.get(failureDomain));
        peers.remove(self);
        List<String> recipients = new ArrayList<>();
        while (recipients.size() < settings.fanOut() && !peers.isEmpty()) {
            recipients.add(peers.remove(random.nextInt(peers.size())));
        }
        if (relay) {
            relaysByDomain.forEach((domain, relays) -> {
                if (!domain.equals(failureDomain)) {
                    recipients.addAll(relays);
                }
            });
        }
        return recipients;
    }

    /** Abandons the peer request and the store call whose replies are overdue. */
    private void expireCalls(long now) {
        if (requestedPeer != null && now - requestedAt >= settings.peerTimeoutMillis()) {
            newerPeers.remove(requestedPeer);
            requestedPeer = null;
        }
        if (callSentAt != NOT_SENT && now - callSentAt >= 2 * settings.watchMillis()) {
            onCallFailed(now);
        }
    }

    private void requestFromNewestPeer(List<FeedEffect> effects, long now) {
        if (requestedPeer != null) {
            return;
        }
        String newestPeer = null;
        for (Map.Entry<String, Long> peer : newerPeers.entrySet()) {
            if (peer.getValue() > tracker.revision()
                    && (newestPeer == null || peer.getValue() > newerPeers.get(newestPeer))) {
                newestPeer = peer.getKey();
            }
        }
        if (newestPeer != null) {
            requestedPeer = newestPeer;
            requestedAt = now;
            effects.add(new FeedEffect.RequestConfiguration(newestPeer, tracker.revision()));
        }
    }

    private FeedEffect watch(long waitMillis, long now) {
        callSentAt = now;
        return new FeedEffect.Watch(version, waitMillis, ++callId);
    }

    private void onCallFailed(long now) {
        callSentAt = NOT_SENT;
        nextCallAt = now + backoff.next();
    }

    /** Returns the period in milliseconds in which each host of the failure domain may poll once. */
    private long pollWindow() {
        int hosts = hostsByDomain.get(failureDomain).size();
        return Math.max(1, Math.round(MILLIS_PER_SECOND * hosts / settings.pollsPerSecond()));
    }
}
