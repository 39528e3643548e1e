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
 * Detects failures of the hosts of a failure domain by probes, in the manner of SWIM.
 *
 * <p>In each period a host probes one other, so that its cost does not depend on the number of hosts. A host that
 * answers neither a direct probe nor those of a few others is suspected, and dead if it does not refute in time.
 */
public final class FailureDetector {
    private static final String DIRECT = "";
    private static final int TOMBSTONES = 1_000;
    private static final int RELAYED_LIMIT = 256;

    private final DetectorSettings settings;
    private final MemberTable table;
    private final Random random;
    private final UpdateQueue updates = new UpdateQueue();
    private final Deque<String> round = new ArrayDeque<>();
    private final Map<Long, Probe> probes = new TreeMap<>();
    private final Map<Long, Relayed> relayed = new TreeMap<>();
    private final Map<String, Long> suspectSince = new HashMap<>();
    private final Map<String, Member> seeds = new TreeMap<>();
    private Member self;
    private long nextProbeAt;
    private long probeIds;

    private static final class Probe {
        private final String target;
        private final long sentAt;
        private final boolean foreign;
        private boolean indirect;

        Probe(String target, long sentAt, boolean foreign) {
            this.target = target;
            this.sentAt = sentAt;
            this.foreign = foreign;
        }
    }

    private record Relayed(String origin, long originProbe, String target, long at) {}

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

    /** Returns this host as it presents itself. */
    public Member self() {
        return self;
    }

    /** Takes the platform's lagging list: unknown hosts are probed, and hosts listed as leaving get no new work. */
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
                learn(seed, now, effects);
            } else if (seed.state() == MemberState.LEAVING && known.reachable()) {
                learn(known.with(MemberState.LEAVING), now, effects);
            }
        }
        return effects;
    }

    /** Announces that this host shuts down. */
    public List<MembershipEffect> leave(long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        learn(self.with(MemberState.LEAVING), now, effects);
        self = self.with(MemberState.LEAVING);
        for (Member m : sample(settings.indirectProbes(), self.host())) {
            effects.add(probe(m.host(), m.host(), now, false));
        }
        return effects;
    }

    /** Probes hosts at once, for example to tell them a new configuration revision; unknown hosts are left out. */
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

    /** Returns when an open probe of this host was sent, or a negative number if it is not open. */
    public long sentAt(long probeId) {
        Probe p = probes.get(probeId);
        return p == null ? -1 : p.sentAt;
    }

    /** Sends what is due; called several times in each period. */
    public List<MembershipEffect> onTick(long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        Iterator<Map.Entry<Long, Probe>> open = probes.entrySet().iterator();
        List<Probe> late = new ArrayList<>();
        while (open.hasNext()) {
            Probe p = open.next().getValue();
            if (now - p.sentAt >= settings.periodMillis()) {
                open.remove();
                late.add(p);
            } else if (!p.indirect && !p.foreign && now - p.sentAt >= settings.timeoutMillis()) {
                p.indirect = true;
                askOthers(p.target, effects);
            }
        }
        late.forEach(p -> suspect(p, now, effects));
        for (String host : new ArrayList<>(suspectSince.keySet())) {
            Member m = table.get(host);
            if (m == null || m.state() != MemberState.SUSPECT) {
                suspectSince.remove(host);
            } else if (now - suspectSince.get(host) >= settings.suspicionMillis()) {
                learn(m.with(MemberState.DEAD), now, effects);
            }
        }
        if (now >= nextProbeAt) {
            nextProbeAt = now + settings.periodMillis();
            probeNext(now, effects);
        }
        relayed.values().removeIf(r -> now - r.at() >= settings.periodMillis());
        table.forget(now, settings.forgetMillis(), TOMBSTONES);
        return effects;
    }

    /**
     * Handles a probe.
     *
     * @param target host to probe on behalf of the sender, or empty
     */
    public List<MembershipEffect> onProbe(String from, long probeId, String target, List<Member> news, long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        takeAll(news, now, effects);
        if (target.isEmpty() || target.equals(self.host())) {
            effects.add(new MembershipEffect.SendReply(from, probeId, DIRECT, takeUpdates(from)));
        } else if (relayed.size() < RELAYED_LIMIT && table.get(target) != null) {
            long id = ++probeIds;
            relayed.put(id, new Relayed(from, probeId, target, now));
            effects.add(new MembershipEffect.SendProbe(target, id, DIRECT, takeUpdates(target)));
        }
        return effects;
    }

    /** Handles the reply to a probe. */
    public List<MembershipEffect> onReply(String from, long probeId, List<Member> news, long now) {
        List<MembershipEffect> effects = new ArrayList<>();
        takeAll(news, now, effects);
        Relayed r = relayed.remove(probeId);
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
            refill();
        }
        String host = round.poll();
        if (host == null) {
            return;
        }
        Member m = table.get(host);
        if (m == null || host.equals(self.host())) {
            return;
        }
        boolean foreign = !m.failureDomain().equals(self.failureDomain());
        effects.add(probe(host, host, now, foreign));
    }

    /**
     * Fills a round in random order: the hosts of the own failure domain, one listed host that is thought to be dead, so
     * that a healed partition is noticed, and for a relay the relays of the other failure domains.
     */
    private void refill() {
        List<String> hosts = new ArrayList<>();
        List<String> lost = new ArrayList<>();
        boolean relay = table.relays(self.failureDomain(), settings.relays()).contains(self.host());
        Map<String, Boolean> foreignDomains = new TreeMap<>();
        for (Member m : table.all()) {
            if (!m.failureDomain().equals(self.failureDomain())) {
                foreignDomains.put(m.failureDomain(), true);
            } else if (m.state() == MemberState.DEAD) {
                if (seeds.containsKey(m.host())) {
                    lost.add(m.host());
                }
            } else if (!m.host().equals(self.host())) {
                hosts.add(m.host());
            }
        }
        for (Member seed : seeds.values()) {
            if (table.get(seed.host()) == null && seed.failureDomain().equals(self.failureDomain())) {
                lost.add(seed.host());
            }
        }
        if (!lost.isEmpty()) {
            hosts.add(lost.get(random.nextInt(lost.size())));
        }
        if (relay) {
            foreignDomains.keySet().forEach(d -> hosts.addAll(table.relays(d, settings.relays())));
        }
        Collections.shuffle(hosts, random);
        round.addAll(hosts);
    }

    private MembershipEffect probe(String to, String target, long now, boolean foreign) {
        long id = ++probeIds;
        probes.put(id, new Probe(target, now, foreign));
        return new MembershipEffect.SendProbe(to, id, DIRECT, takeUpdates(to));
    }

    private void askOthers(String target, List<MembershipEffect> effects) {
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
        List<Member> others = new ArrayList<>(table.reachable(self.failureDomain()));
        others.removeIf(m -> m.host().equals(except) || m.host().equals(self.host()));
        Collections.shuffle(others, random);
        return others.subList(0, Math.min(count, others.size()));
    }

    private void suspect(Probe probe, long now, List<MembershipEffect> effects) {
        Member m = table.get(probe.target);
        // Hosts are only judged by their own failure domain: a partition between two others must not spread as deaths.
        if (m == null || probe.foreign) {
            return;
        }
        if (m.state() == MemberState.ALIVE) {
            learn(m.with(MemberState.SUSPECT), now, effects);
        } else if (m.state() == MemberState.LEAVING) {
            learn(m.with(MemberState.DEAD), now, effects);
        }
    }

    private void takeAll(List<Member> news, long now, List<MembershipEffect> effects) {
        for (Member member : news) {
            if (!member.host().equals(self.host())) {
                learn(member, now, effects);
            } else if (member.incarnation() == self.incarnation()
                    && member.refutation() >= self.refutation()
                    && member.state().compareTo(self.state()) > 0) {
                self = self.refuted(member.refutation() + 1, self.state());
                learn(self, now, effects);
            }
        }
    }

    private void learn(Member member, long now, List<MembershipEffect> effects) {
        if (!table.apply(member, now)) {
            return;
        }
        updates.add(member);
        if (member.state() == MemberState.SUSPECT) {
            suspectSince.put(member.host(), now);
        } else {
            suspectSince.remove(member.host());
        }
        effects.add(new MembershipEffect.Changed(member));
    }

    /** Returns the updates of a message; the receiver always learns how it is seen, so that it can refute. */
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
