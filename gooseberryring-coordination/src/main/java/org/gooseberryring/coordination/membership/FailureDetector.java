package org.gooseberryring.coordination.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Detects failures of the hosts of a failure domain by probes, as in the SWIM protocol.
 *
 * <p>In each period a host probes one other host, so that its cost does not depend on the number of hosts. A host that
 * replies neither to a direct probe nor to those of a few other hosts is suspected. It is declared dead if it does not
 * refute the suspicion in time.
 */
public final class FailureDetector {
    private static final String DIRECT = "";
    private static final int MAX_TOMBSTONES = 1_000;
    private static final int MAX_RELAYED_PROBES = 256;

    private final DetectorSettings settings;
    private final MemberTable table;
    private final Random random;
    private final UpdateQueue updates = new UpdateQueue();
    private final Deque<String> round = new ArrayDeque<>();
    private final Map<Long, Probe> probes = new TreeMap<>();
    private final Map<Long, RelayedProbe> relayedProbes = new TreeMap<>();
    private final Map<String, Long> suspectSince = new HashMap<>();
    private final Map<String, Member> seeds = new TreeMap<>();
    private Member self;
    private long nextProbeAt;
    private long probeIds;

    private static final class Probe {
        private final String target;
        private final long sentAt;
        private final boolean otherDomain;
        private boolean indirect;

        Probe(String target, long sentAt, boolean otherDomain) {
            this.target = target;
            this.sentAt = sentAt;
            this.otherDomain = otherDomain;
        }
    }

    private record RelayedProbe(String origin, long originProbe, String target, long at) {}

    /** Creates the detector of a host. */
    public FailureDetector(Member self, DetectorSettings settings, MemberTable table, Random random, long now) {
        this.self = self;
        this.settings = settings;
        this.table = table;
        this.random = random;
        this.nextProbeAt = now + random.nextInt((int) settings.periodMillis());
        table.apply(self, now);
        updates.add(self);
    }

    /** Returns the member entry that this host announces for itself. */
    public Member self() {
        return self;
    }

    /**
     * Applies the platform's host list, which may be outdated. Unknown hosts are added, so that they are probed. Hosts
     * listed as leaving are marked as such, so that they receive no new work.
     */
    public List<MembershipEffect> onSeeds(Collection<Member> hosts, long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        seeds.clear();
        for (Member seed : hosts) {
            if (seed.host().equals(self.host())) {
                continue;
            }
            seeds.put(seed.host(), seed);
            Member known = table.get(seed.host());
            if (known == null) {
                apply(seed, now, effects);
            } else if (seed.state() == MemberState.LEAVING && known.isReachable()) {
                apply(known.with(MemberState.LEAVING), now, effects);
            }
        }
        return effects;
    }

    /** Announces that this host shuts down. */
    public List<MembershipEffect> leave(long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        apply(self.with(MemberState.LEAVING), now, effects);
        self = self.with(MemberState.LEAVING);
        for (Member m : sample(settings.indirectProbes(), self.host())) {
            effects.add(probe(m.host(), m.host(), now, false));
        }
        return effects;
    }

    /** Probes hosts at once, for example to announce a new configuration revision; unknown hosts are skipped. */
    public List<MembershipEffect> announce(Collection<String> hosts, long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        for (String host : hosts) {
            Member m = table.get(host);
            if (m != null && !host.equals(self.host())) {
                effects.add(probe(host, host, now, !m.failureDomain().equals(self.failureDomain())));
            }
        }
        return effects;
    }

    /** Returns when a pending probe of this host was sent, or a negative number if it is not pending. */
    public long sentAt(long probeId) {
        Probe p = probes.get(probeId);
        return p == null ? -1 : p.sentAt;
    }

    /** Returns the actions that are due; called several times in each period. */
    public List<MembershipEffect> onTick(long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        Iterator<Map.Entry<Long, Probe>> pending = probes.entrySet().iterator();
        List<Probe> timedOut = new ArrayList<>();
        while (pending.hasNext()) {
            Probe p = pending.next().getValue();
            if (now - p.sentAt >= settings.periodMillis()) {
                pending.remove();
                timedOut.add(p);
            } else if (!p.indirect && !p.otherDomain && now - p.sentAt >= settings.timeoutMillis()) {
                p.indirect = true;
                probeIndirectly(p.target, effects);
            }
        }
        timedOut.forEach(p -> suspect(p, now, effects));
        for (String host : new ArrayList<>(suspectSince.keySet())) {
            Member m = table.get(host);
            if (m == null || m.state() != MemberState.SUSPECT) {
                suspectSince.remove(host);
            } else if (now - suspectSince.get(host) >= settings.suspicionMillis()) {
                apply(m.with(MemberState.DEAD), now, effects);
            }
        }
        if (now >= nextProbeAt) {
            nextProbeAt = now + settings.periodMillis();
            probeNext(now, effects);
        }
        relayedProbes.values().removeIf(r -> now - r.at() >= settings.periodMillis());
        table.removeExpired(now, settings.deadRetentionMillis(), MAX_TOMBSTONES);
        return effects;
    }

    /**
     * Handles a probe.
     *
     * @param target host to probe on behalf of the sender, or empty
     */
    public List<MembershipEffect> onProbe(String from, long probeId, String target, List<Member> received, long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        applyAll(received, now, effects);
        if (target.isEmpty() || target.equals(self.host())) {
            effects.add(new MembershipEffect.SendReply(from, probeId, DIRECT, takeUpdates(from)));
        } else if (relayedProbes.size() < MAX_RELAYED_PROBES && table.get(target) != null) {
            long id = ++probeIds;
            relayedProbes.put(id, new RelayedProbe(from, probeId, target, now));
            effects.add(new MembershipEffect.SendProbe(target, id, DIRECT, takeUpdates(target)));
        }
        return effects;
    }

    /** Handles the reply to a probe. */
    public List<MembershipEffect> onReply(String from, long probeId, List<Member> received, long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        applyAll(received, now, effects);
        RelayedProbe r = relayedProbes.remove(probeId);
        if (r != null) {
            effects.add(
                    new MembershipEffect.SendReply(r.origin(), r.originProbe(), r.target(), takeUpdates(r.origin())));
            return effects;
        }
        probes.remove(probeId);
        return effects;
    }

    private void probeNext(long now, List<MembershipEffect> effects) {
        if (round.isEmpty()) {
            fillRound();
        }
        String host = round.poll();
        if (host == null) {
            return;
        }
        Member m = table.get(host);
        if (m == null || host.equals(self.host())) {
            return;
        }
        boolean otherDomain = !m.failureDomain().equals(self.failureDomain());
        effects.add(probe(host, host, now, otherDomain));
    }

    /**
     * Fills a round in random order: the hosts of the same failure domain, one listed host that is considered dead, so
     * that a healed partition is detected, and for a relay the relays of the other failure domains.
     */
    private void fillRound() {
        List<String> hosts = new ArrayList<>();
        List<String> deadSeeds = new ArrayList<>();
        boolean relay = table.relays(self.failureDomain(), settings.relays()).contains(self.host());
        Map<String, Boolean> foreignDomains = new TreeMap<>();
        for (Member m : table.all()) {
            if (!m.failureDomain().equals(self.failureDomain())) {
                foreignDomains.put(m.failureDomain(), true);
            } else if (m.state() == MemberState.DEAD) {
                if (seeds.containsKey(m.host())) {
                    deadSeeds.add(m.host());
                }
            } else if (!m.host().equals(self.host())) {
                hosts.add(m.host());
            }
        }
        for (Member seed : seeds.values()) {
            if (table.get(seed.host()) == null && seed.failureDomain().equals(self.failureDomain())) {
                deadSeeds.add(seed.host());
            }
        }
        if (!deadSeeds.isEmpty()) {
            hosts.add(deadSeeds.get(random.nextInt(deadSeeds.size())));
        }
        if (relay) {
            foreignDomains.keySet().forEach(d -> hosts.addAll(table.relays(d, settings.relays())));
        }
        Collections.shuffle(hosts, random);
        round.addAll(hosts);
    }

    private MembershipEffect probe(String to, String target, long now, boolean otherDomain) {
        long id = ++probeIds;
        probes.put(id, new Probe(target, now, otherDomain));
        return new MembershipEffect.SendProbe(to, id, DIRECT, takeUpdates(to));
    }

    private void probeIndirectly(String target, List<MembershipEffect> effects) {
        long id = probes.entrySet().stream()
                .filter(p -> p.getValue().target.equals(target))
                .findFirst()
                .orElseThrow()
                .getKey();
        for (Member m : sample(settings.indirectProbes(), target)) {
            effects.add(new MembershipEffect.SendProbe(m.host(), id, target, takeUpdates(m.host())));
        }
    }

    private List<Member> sample(int count, String except) {
        List<Member> others = new ArrayList<>(table.reachableMembers(self.failureDomain()));
        others.removeIf(m -> m.host().equals(except) || m.host().equals(self.host()));
        Collections.shuffle(others, random);
        return others.subList(0, Math.min(count, others.size()));
    }

    private void suspect(Probe probe, long now, List<MembershipEffect> effects) {
        Member m = table.get(probe.target);
        // Hosts of other failure domains are not suspected: a partition between domains must not count as deaths.
        if (m == null || probe.otherDomain) {
            return;
        }
        if (m.state() == MemberState.ALIVE) {
            apply(m.with(MemberState.SUSPECT), now, effects);
        } else if (m.state() == MemberState.LEAVING) {
            apply(m.with(MemberState.DEAD), now, effects);
        }
    }

    private void applyAll(List<Member> received, long now, List<MembershipEffect> effects) {
        for (Member member : received) {
            if (!member.host().equals(self.host())) {
                apply(member, now, effects);
            } else if (member.incarnation() == self.incarnation()
                    && member.refutation() >= self.refutation()
                    && member.state().compareTo(self.state()) > 0) {
                self = self.refuted(member.refutation() + 1, self.state());
                apply(self, now, effects);
            }
        }
    }

    private void apply(Member member, long now, List<MembershipEffect> effects) {
        if (!table.apply(member, now)) {
            return;
        }
        updates.add(member);
        if (member.state() == MemberState.SUSPECT) {
            suspectSince.put(member.host(), now);
        } else {
            suspectSince.remove(member.host());
        }
        effects.add(new MembershipEffect.MemberChanged(member));
    }

    /** Returns the updates of a message, with the receiver's state unless that is alive, so that it can refute it. */
    private List<Member> takeUpdates(String to) {
        int hosts = Math.max(2, table.all().size());
        int transmissions = settings.transmissionsPerUpdate() * (Integer.SIZE - Integer.numberOfLeadingZeros(hosts));
        List<Member> list = new ArrayList<>(updates.take(settings.updatesPerMessage(), transmissions));
        Member receiver = table.get(to);
        if (receiver != null && receiver.state() != MemberState.ALIVE && !list.contains(receiver)) {
            list.add(receiver);
        }
        if (!list.contains(self)) {
            list.add(self);
        }
        return list;
    }
}
