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

/**
 * Tells all hosts the state of each one.
 *
 * <p>The hosts of a failure domain send their state to a relay, which passes it on to them and to the relays of the other
 * failure domains. Only what the receiver lacks is sent. A relay that does not answer is replaced by the next host in a
 * fixed order, without an agreement: a host relays for those that send to it. A failure domain whose relays cannot be
 * reached is heard of through the relay of a third one.
 *
 * <p>Hosts that give no sign of life are told apart from those whose state has not changed: a sender names the silent
 * ones among the hosts that its message covers.
 *
 * @param <K> type of the keys of the state
 * @param <V> type of its values
 */
public final class StateExchange<K, V> {
    /** Probe intervals without an answer after which a host is only probed, and is not taken for living. */
    private static final int SILENT_PROBES = 3;

    private final ExchangeMember self;
    private final ExchangeTimes times;
    private final RelayChoice relays;
    private final StateTable<K, V> table;
    private final Map<String, ExchangeLink> links = new TreeMap<>();
    private final long startedAt;
    private boolean relaying;

    /** Creates the exchange of a host that knows no other one; {@code incarnation} is the number of its process. */
    public StateExchange(ExchangeMember self, long incarnation, ExchangeTimes times, long now) {
        this.self = self;
        this.times = times;
        this.relays = new RelayChoice(self);
        this.table = new StateTable<>(self, incarnation, now);
        this.startedAt = now;
    }

    /** Adds another host, or takes over what has changed of it. */
    public void addOrUpdateMember(ExchangeMember member) {
        if (!member.host().equals(self.host())) {
            relays.addOrUpdate(member);
        }
    }

    /** Takes a host out that is no longer listed. */
    public void onMemberRemoved(String host) {
        if (!host.equals(self.host())) {
            // Its link is kept, since the numbers of the messages go on if the host is listed again.
            relays.remove(host);
        }
    }

    /**
     * Replaces the state of this host.
     *
     * @param state all entries
     * @param notices values that every other host is told once
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

    /** Returns the milliseconds since the last sign of life of each other host that is known. */
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

    /** Returns the relay that this host sends to and that answers, null if there is none. */
    public String relay(long now) {
        return chosen(self.failureDomain(), now).stream()
                .filter(host -> answers(host, now))
                .findFirst()
                .orElse(null);
    }

    /** Returns the hosts of the own failure domain that rely on this host. */
    public Set<String> subscribers(long now) {
        Set<String> subscribers = new HashSet<>();
        links.forEach((host, link) -> {
            boolean near = self.failureDomain().equals(relays.failureDomain(host));
            if (near
                    && now - link.subscribedAt() <= times.freshMillis()
                    && !relays.before().contains(host)) {
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
     * Returns whether fewer than the given number of living hosts of the failure domain come before this one.
     *
     * <p>A host that was just started takes the hosts that it has not heard of yet for living.
     */
    public boolean isAmongFirst(int count, long now) {
        boolean starting = now - startedAt <= times.probeMillis();
        long before = relays.before().stream()
                .filter(host -> table.record(host) == null
                        ? starting
                        : table.record(host).ageMillis(now) <= SILENT_PROBES * times.probeMillis())
                .count();
        return before < count;
    }

    /** Handles a message of another host. */
    public List<ExchangeEffect<K, V>> onMessage(String sender, long incarnation, ExchangeMessage<K, V> sync, long now) {
        String domain = relays.failureDomain(sender);
        if (domain == null) {
            // Its address is not known yet; it repeats what was not acknowledged.
            return List.of();
        }
        ExchangeLink link = links.computeIfAbsent(sender, host -> new ExchangeLink());
        if (!link.received(incarnation, sync, now)) {
            return List.of();
        }
        List<ExchangeEffect<K, V>> effects = new ArrayList<>();
        for (RecordUpdate<K, V> update : sync.updates()) {
            apply(link, update, effects, now);
        }
        noteLiving(sender, domain, sync, now);
        return effects;
    }

    /** Returns what is due; called many times a second. */
    public List<ExchangeEffect<K, V>> onTick(long now) {
        List<ExchangeEffect<K, V>> effects = new ArrayList<>();
        table.expire(now);
        dropGone(effects, now);
        noteRole(effects, now);
        Set<String> chosen = chosen(now);
        Set<String> receivers = new LinkedHashSet<>(chosen);
        links.forEach((host, link) -> {
            if (now - link.subscribedAt() <= times.acknowledgeMillis()) {
                receivers.add(host);
            }
        });
        long newsMillis = times.newsMillis(receivers.size(), self.processors());
        for (String host : receivers) {
            ExchangeLink link = links.computeIfAbsent(host, key -> new ExchangeLink());
            if (link.isBroken(times.acknowledgeMillis(), now)) {
                link.forgetSent();
                effects.add(new ExchangeEffect.Reconnect<>(host));
            }
            if (now - link.sentAt() >= interval(host, link, newsMillis, now)) {
                effects.add(new ExchangeEffect.Send<>(host, sync(host, link, chosen.contains(host), now)));
            }
        }
        return effects;
    }

    private void apply(ExchangeLink link, RecordUpdate<K, V> update, List<ExchangeEffect<K, V>> effects, long now) {
        switch (table.apply(update, now)) {
            case NEW -> {
                link.knows(update.host(), update.incarnation(), update.version());
                table.record(update.host()).heardAt(now);
                effects.add(new ExchangeEffect.HostUpdated<>(update));
            }
            case GAP -> link.askRestart();
            default -> link.knows(update.host(), update.incarnation(), update.version());
        }
    }

    /** Notes which hosts live by what the sender of a message says. */
    private void noteLiving(String sender, String domain, ExchangeMessage<K, V> sync, long now) {
        table.records().forEach((host, known) -> {
            boolean covered = host.equals(sender)
                    || sync.coversAll()
                    || sync.coveredDomains().contains(known.failureDomain())
                    || sync.relayedHosts().contains(host);
            Long silent = sync.silent().get(host);
            if (known != table.own() && covered) {
                long at = silent == null ? now : now - silent;
                // The relay of this failure domain sees more than a host that hears of it through others.
                boolean decides = sync.coversAll() || known.failureDomain().equals(domain);
                known.heardAt(decides ? at : Math.max(at, now - known.ageMillis(now)));
            }
        });
    }

    private void dropGone(List<ExchangeEffect<K, V>> effects, long now) {
        for (String host : table.dropOlderThan(times.goneMillis(), now)) {
            links.values().forEach(link -> link.forget(host));
            effects.add(new ExchangeEffect.HostExpired<>(host));
        }
    }

    private void noteRole(List<ExchangeEffect<K, V>> effects, long now) {
        boolean relaysNow = !relays.hasRelay(host -> mayAnswer(host, now));
        if (relaysNow != relaying) {
            relaying = relaysNow;
            effects.add(new ExchangeEffect.RelayRoleChanged<>(relaying));
        }
    }

    /** Returns the hosts that this one relies on, those included that it probes because they do not answer. */
    private Set<String> chosen(long now) {
        Set<String> chosen = new LinkedHashSet<>(chosen(self.failureDomain(), now));
        if (relaying) {
            relays.otherDomains().forEach(domain -> chosen.addAll(chosen(domain, now)));
        }
        return chosen;
    }

    private Collection<String> chosen(String domain, long now) {
        return relays.upToFirst(domain, host -> answers(host, now));
    }

    private boolean answers(String host, long now) {
        ExchangeLink link = links.get(host);
        return link != null && now - link.heardAt() <= times.liveMillis();
    }

    /** Returns whether a host answers, or was not asked for long enough to tell. */
    private boolean mayAnswer(String host, long now) {
        ExchangeLink link = links.get(host);
        if (link == null) {
            return true;
        }
        boolean untold = link.receivedNumber() == 0 && now - link.triedSince() <= times.liveMillis();
        return untold || answers(host, now);
    }

    private long interval(String host, ExchangeLink link, long newsMillis, long now) {
        boolean silent = now - link.heardAt() > SILENT_PROBES * times.probeMillis()
                && now - link.triedSince() > SILENT_PROBES * times.probeMillis();
        if (silent) {
            return times.probeMillis();
        }
        return lacks(host, link) ? newsMillis : times.keepAliveMillis();
    }

    /** Returns whether the other end of a link lacks a part of the state that it is to be told. */
    private boolean lacks(String host, ExchangeLink link) {
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
        link.caughtUp(table.changes());
        return false;
    }

    private ExchangeMessage<K, V> sync(String host, ExchangeLink link, boolean subscribes, long now) {
        Scope scope = scope(host, link);
        List<RecordUpdate<K, V>> updates = new ArrayList<>();
        Map<String, Long> silent = new HashMap<>();
        table.records().forEach((name, known) -> {
            long base = link.knownVersion(name, known.incarnation());
            if (scope.includes(name, known.failureDomain()) && base < known.version()) {
                updates.add(known.since(base));
                link.knows(name, known.incarnation(), known.version());
            }
            boolean covered = scope.coversAll() || scope.domains().contains(known.failureDomain());
            if (covered && known != table.own() && known.ageMillis(now) > times.freshMillis()) {
                silent.put(name, known.ageMillis(now));
            }
        });
        boolean near = scope.near();
        return new ExchangeMessage<>(
                link.sent(table.changes(), now),
                link.receivedNumber(),
                subscribes,
                link.takeRestart(),
                near || !relaying ? Set.of() : wanted(relays.failureDomain(host), now),
                scope.coversAll(),
                scope.domains(),
                near && !scope.coversAll() ? subscribers(now) : Set.of(),
                updates,
                silent);
    }

    /**
     * Part of the state that the other end of a link is told.
     *
     * @param receiver host at the other end
     * @param near whether it lies in the same failure domain, so that it is told everything
     * @param coversAll whether this host states of all others whether they live
     * @param domains failure domains that a relay of another one is told
     */
    private record Scope(String receiver, boolean near, boolean coversAll, Set<String> domains) {
        boolean includes(String host, String failureDomain) {
            return !host.equals(receiver) && (near || domains.contains(failureDomain));
        }
    }

    private Scope scope(String host, ExchangeLink link) {
        if (self.failureDomain().equals(relays.failureDomain(host))) {
            return new Scope(host, true, !relays.before().contains(host), Set.of());
        }
        Set<String> domains = new HashSet<>(link.wantedByPeer());
        domains.add(self.failureDomain());
        return new Scope(host, false, false, domains);
    }

    /** Returns the failure domains that the relay of another one is asked to pass on, because none of theirs answers. */
    private Set<String> wanted(String askedDomain, long now) {
        Set<String> wanted = new HashSet<>();
        for (String domain : relays.otherDomains()) {
            boolean reached = chosen(domain, now).stream().anyMatch(host -> mayAnswer(host, now));
            if (!reached && !domain.equals(askedDomain)) {
                wanted.add(domain);
            }
        }
        return wanted;
    }
}
