package org.gooseberryring.coordination.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Distributes the state of each host to all hosts.
 *
 * <p>The hosts of a failure domain send their state to a relay, which forwards it to the other hosts of the domain and to
 * the relays of the other failure domains. Only changes that the receiver does not have are sent. A relay that does not
 * respond is replaced by the next host in a fixed order, without an election: a host relays for those that send to it. If
 * the relays of a failure domain cannot be reached, its state arrives through the relay of a third one.
 *
 * <p>To tell silent hosts from hosts whose state has not changed, a sender lists the silent hosts among those that its
 * message covers.
 *
 * @param <K> type of the keys of the state
 * @param <V> type of its values
 */
public final class StateExchange<K, V> {
    /** Probe intervals without a message after which a host is only probed and not considered live. */
    private static final int MAX_UNANSWERED_PROBES = 3;

    private final ExchangeMember self;
    private final ExchangeTimes times;
    private final RelayChoice relays;
    private final StateTable<K, V> table;
    private final Map<String, ExchangeLink> links = new TreeMap<>();
    private final long startedAt;
    private boolean relaying;

    /** Creates the exchange of a host that knows no other hosts; {@code incarnation} is the number of its process. */
    public StateExchange(ExchangeMember self, long incarnation, ExchangeTimes times, long now) {
        this.self = self;
        this.times = times;
        this.relays = new RelayChoice(self);
        this.table = new StateTable<>(self, incarnation, now);
        this.startedAt = now;
    }

    /** Adds another host or updates it. */
    public void addOrUpdateMember(ExchangeMember member) {
        if (!member.host().equals(self.host())) {
            relays.addOrUpdate(member);
        }
    }

    /** Removes a host that is no longer listed. */
    public void onMemberRemoved(String host) {
        if (!host.equals(self.host())) {
            // Its link is kept, since the message numbers continue if the host is listed again.
            relays.remove(host);
        }
    }

    /**
     * Replaces the state of this host.
     *
     * @param state all entries
     * @param notices values that are sent to each other host once
     */
    public void publish(Map<K, V> state, List<V> notices, long now) {
        table.publish(state, notices, now);
    }

    /** Returns the entries of a host, empty if it is not known. */
    public Map<K, V> state(String host) {
        HostRecord<K, V> known = table.record(host);
        return known == null ? Map.of() : known.values();
    }

    /** Returns an entry of a host, null if there is none. */
    public V entry(String host, K key) {
        HostRecord<K, V> known = table.record(host);
        return known == null ? null : known.value(key);
    }

    /** Returns the other hosts whose state has an entry with a key. */
    public Set<String> hostsWith(K key) {
        Set<String> hosts = new HashSet<>();
        table.records().forEach((host, known) -> {
            if (known != table.own() && known.value(key) != null) {
                hosts.add(host);
            }
        });
        return hosts;
    }

    /** Returns the milliseconds since each other known host was last seen. */
    public Map<String, Long> ages(long now) {
        Map<String, Long> ages = new HashMap<>();
        table.records().forEach((host, each) -> {
            if (each != table.own()) {
                ages.put(host, each.ageMillis(now));
            }
        });
        return ages;
    }

    /** Returns the failure domain of a host, null if the host is not known. */
    public String failureDomain(String host) {
        return relays.failureDomain(host);
    }

    /** Returns the responsive relay that this host sends to, null if there is none. */
    public String relay(long now) {
        return selectRelays(self.failureDomain(), now).stream()
                .filter(host -> isResponsive(host, now))
                .findFirst()
                .orElse(null);
    }

    /** Returns the hosts of the same failure domain that are subscribed to this host. */
    public Set<String> subscribers(long now) {
        Set<String> subscribers = new HashSet<>();
        links.forEach((host, link) -> {
            boolean near = self.failureDomain().equals(relays.failureDomain(host));
            if (near
                    && now - link.subscribedAt() <= times.freshMillis()
                    && !relays.precedingHosts().contains(host)) {
                subscribers.add(host);
            }
        });
        return subscribers;
    }

    /** Returns whether this host relays for its failure domain. */
    public boolean isRelay() {
        return relaying;
    }

    /**
     * Returns whether fewer than the given number of live hosts that count precede this one in its failure domain.
     *
     * <p>A host that was just started considers the hosts live of which it has no state yet.
     */
    public boolean isAmongFirst(int count, Predicate<String> counts, long now) {
        boolean starting = now - startedAt <= times.probeMillis();
        long preceding = relays.precedingHosts().stream()
                .filter(counts)
                .filter(host -> table.record(host) == null
                        ? starting
                        : table.record(host).ageMillis(now) <= MAX_UNANSWERED_PROBES * times.probeMillis())
                .count();
        return preceding < count;
    }

    /** Handles a message of another host. */
    public List<ExchangeEffect<K, V>> onMessage(String sender, long incarnation, ExchangeMessage<K, V> sync, long now) {
        String domain = relays.failureDomain(sender);
        if (domain == null) {
            // The address of the sender is not known yet; it sends again what is not acknowledged.
            return List.of();
        }
        ExchangeLink link = links.computeIfAbsent(sender, host -> new ExchangeLink());
        if (!link.recordReceived(incarnation, sync, now)) {
            return List.of();
        }
        List<ExchangeEffect<K, V>> effects = new ArrayList<>();
        for (RecordUpdate<K, V> update : sync.updates()) {
            apply(link, update, effects, now);
        }
        updateLastSeen(sender, domain, sync, now);
        return effects;
    }

    /** Returns the actions that are due; called many times a second. */
    public List<ExchangeEffect<K, V>> onTick(long now) {
        List<ExchangeEffect<K, V>> effects = new ArrayList<>();
        table.removeExpiredNotices(now);
        removeExpiredHosts(effects, now);
        updateRelayRole(effects, now);
        Set<String> selected = selectRelays(now);
        Set<String> receivers = new LinkedHashSet<>(selected);
        links.forEach((host, link) -> {
            if (now - link.subscribedAt() <= times.acknowledgeTimeoutMillis()) {
                receivers.add(host);
            }
        });
        long updateIntervalMillis = times.updateIntervalMillis(receivers.size(), self.processors());
        for (String host : receivers) {
            ExchangeLink link = links.computeIfAbsent(host, key -> new ExchangeLink());
            if (link.isBroken(times.acknowledgeTimeoutMillis(), now)) {
                link.clearSent();
                effects.add(new ExchangeEffect.Reconnect<>(host));
            }
            if (now - link.sentAt() >= interval(host, link, updateIntervalMillis, now)) {
                effects.add(new ExchangeEffect.Send<>(host, createMessage(host, link, selected.contains(host), now)));
            }
        }
        return effects;
    }

    private void apply(ExchangeLink link, RecordUpdate<K, V> update, List<ExchangeEffect<K, V>> effects, long now) {
        switch (table.apply(update, now)) {
            case NEW -> {
                link.recordKnownVersion(update.host(), update.incarnation(), update.version());
                table.record(update.host()).setLastSeenAt(now);
                effects.add(new ExchangeEffect.HostUpdated<>(update));
            }
            case GAP -> link.requestRestart();
            default -> link.recordKnownVersion(update.host(), update.incarnation(), update.version());
        }
    }

    /** Updates when hosts were last seen, from the statements in a message. */
    private void updateLastSeen(String sender, String domain, ExchangeMessage<K, V> sync, long now) {
        table.records().forEach((host, known) -> {
            boolean covered = host.equals(sender)
                    || sync.coversAll()
                    || sync.coveredDomains().contains(known.failureDomain())
                    || sync.relayedHosts().contains(host);
            Long silent = sync.silent().get(host);
            if (known != table.own() && covered) {
                long at = silent == null ? now : now - silent;
                // This domain's relay and senders in the domain of that host know more than indirect sources.
                boolean authoritative =
                        sync.coversAll() || known.failureDomain().equals(domain);
                known.setLastSeenAt(authoritative ? at : Math.max(at, now - known.ageMillis(now)));
            }
        });
    }

    private void removeExpiredHosts(List<ExchangeEffect<K, V>> effects, long now) {
        for (String host : table.removeOlderThan(times.hostExpiryMillis(), now)) {
            links.values().forEach(link -> link.removeHost(host));
            effects.add(new ExchangeEffect.HostExpired<>(host));
        }
    }

    private void updateRelayRole(List<ExchangeEffect<K, V>> effects, long now) {
        boolean relaysNow = !relays.hasRelay(host -> mayBeResponsive(host, now));
        if (relaysNow != relaying) {
            relaying = relaysNow;
            effects.add(new ExchangeEffect.RelayRoleChanged<>(relaying));
        }
    }

    /** Returns the hosts that this one subscribes to, including unresponsive ones that it probes. */
    private Set<String> selectRelays(long now) {
        Set<String> selected = new LinkedHashSet<>(selectRelays(self.failureDomain(), now));
        if (relaying) {
            relays.otherDomains().forEach(domain -> selected.addAll(selectRelays(domain, now)));
        }
        return selected;
    }

    private Collection<String> selectRelays(String domain, long now) {
        return relays.hostsUpToFirst(domain, host -> isResponsive(host, now));
    }

    private boolean isResponsive(String host, long now) {
        ExchangeLink link = links.get(host);
        return link != null && now - link.lastReceivedAt() <= times.relayTimeoutMillis();
    }

    /** Returns whether a host is responsive, or has not had enough time to respond yet. */
    private boolean mayBeResponsive(String host, long now) {
        ExchangeLink link = links.get(host);
        if (link == null) {
            return true;
        }
        boolean undecided = link.receivedNumber() == 0 && now - link.firstSentAt() <= times.relayTimeoutMillis();
        return undecided || isResponsive(host, now);
    }

    private long interval(String host, ExchangeLink link, long updateIntervalMillis, long now) {
        boolean silent = now - link.lastReceivedAt() > MAX_UNANSWERED_PROBES * times.probeMillis()
                && now - link.firstSentAt() > MAX_UNANSWERED_PROBES * times.probeMillis();
        if (silent) {
            return times.probeMillis();
        }
        return isMissingState(host, link) ? updateIntervalMillis : times.keepAliveMillis();
    }

    /** Returns whether the other end of a link does not have all the state in its scope. */
    private boolean isMissingState(String host, ExchangeLink link) {
        if (!link.isBehind(table.changes())) {
            return false;
        }
        Scope scope = scope(host, link);
        for (Map.Entry<String, HostRecord<K, V>> each : table.records().entrySet()) {
            HostRecord<K, V> known = each.getValue();
            if (scope.includes(each.getKey(), known.failureDomain())
                    && link.knownVersion(each.getKey(), known.incarnation()) < known.version()) {
                return true;
            }
        }
        link.markUpToDate(table.changes());
        return false;
    }

    private ExchangeMessage<K, V> createMessage(String host, ExchangeLink link, boolean subscribes, long now) {
        Scope scope = scope(host, link);
        List<RecordUpdate<K, V>> updates = new ArrayList<>();
        Map<String, Long> silent = new HashMap<>();
        table.records().forEach((name, known) -> {
            long base = link.knownVersion(name, known.incarnation());
            if (scope.includes(name, known.failureDomain()) && base < known.version()) {
                updates.add(known.updateSince(base));
                link.recordKnownVersion(name, known.incarnation(), known.version());
            }
            boolean covered = scope.coversAll() || scope.domains().contains(known.failureDomain());
            if (covered && known != table.own() && known.ageMillis(now) > times.freshMillis()) {
                silent.put(name, known.ageMillis(now));
            }
        });
        boolean near = scope.near();
        return new ExchangeMessage<>(
                link.recordSent(table.changes(), now),
                link.receivedNumber(),
                subscribes,
                link.takeRestartRequest(),
                near || !relaying ? Set.of() : domainsToRequest(relays.failureDomain(host), now),
                scope.coversAll(),
                scope.domains(),
                near && !scope.coversAll() ? subscribers(now) : Set.of(),
                updates,
                silent);
    }

    /**
     * Part of the state that is sent to the other end of a link.
     *
     * @param receiver host at the other end
     * @param near whether the receiver is in the same failure domain, so that it receives everything
     * @param coversAll whether this host reports the liveness of all hosts
     * @param domains failure domains whose state is sent to a relay of another one
     */
    private record Scope(String receiver, boolean near, boolean coversAll, Set<String> domains) {
        boolean includes(String host, String failureDomain) {
            return !host.equals(receiver) && (near || domains.contains(failureDomain));
        }
    }

    private Scope scope(String host, ExchangeLink link) {
        if (self.failureDomain().equals(relays.failureDomain(host))) {
            return new Scope(host, true, !relays.precedingHosts().contains(host), Set.of());
        }
        Set<String> domains = new HashSet<>(link.requestedDomains());
        domains.add(self.failureDomain());
        return new Scope(host, false, false, domains);
    }

    /** Returns the failure domains that a relay of another one is asked to relay, as their relays do not respond. */
    private Set<String> domainsToRequest(String receiverDomain, long now) {
        Set<String> domainsToRequest = new HashSet<>();
        for (String domain : relays.otherDomains()) {
            boolean reached = selectRelays(domain, now).stream().anyMatch(host -> mayBeResponsive(host, now));
            if (!reached && !domain.equals(receiverDomain)) {
                domainsToRequest.add(domain);
            }
        }
        return domainsToRequest;
    }
}
