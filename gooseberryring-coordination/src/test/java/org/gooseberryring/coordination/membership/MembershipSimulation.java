package org.gooseberryring.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/** Simulates hosts with failure detectors on a faulty network in virtual time. */
final class MembershipSimulation {
    private static final int TICK_MILLIS = 50;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<String, Node> nodes = new TreeMap<>();
    private final double loss;
    private BiPredicate<String, String> cut = (from, to) -> false;
    private long messages;
    private long now;
    private long order;

    private record Event(long at, long order, Runnable action) {}

    MembershipSimulation(long seed, int hosts, int domains, double loss) {
        this.random = new Random(seed);
        this.loss = loss;
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            all.add(member("h" + i, "d" + i % domains, 1));
        }
        all.forEach(m -> nodes.put(m.host(), new Node(m, all)));
    }

    static Member member(String host, String domain, long incarnation) {
        return new Member(host, incarnation, 0, MemberState.ALIVE, domain, "10.0.0.1:1", "10.0.0.1:2");
    }

    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }

    /** Cuts the links for which the predicate holds. */
    void cut(BiPredicate<String, String> newCut) {
        cut = newCut;
    }

    /** Stops a host without an announcement. */
    void kill(String host) {
        nodes.get(host).alive = false;
    }

    /** Restarts a host as a new process that knows only the platform's host list. */
    void restart(String host) {
        Member old = nodes.get(host).detector.self();
        List<Member> all = new ArrayList<>();
        nodes.values().forEach(n -> all.add(n.detector.self()));
        nodes.put(host, new Node(member(host, old.failureDomain(), old.incarnation() + 1), all));
    }

    void leave(String host) {
        nodes.get(host).perform(nodes.get(host).detector.leave(now));
    }

    /** Returns the number of running hosts that know a host in the given state. */
    int countSeenAs(String host, MemberState state) {
        int count = 0;
        for (Node node : nodes.values()) {
            Member m = node.table.get(host);
            count += node.alive && m != null && m.state() == state ? 1 : 0;
        }
        return count;
    }

    long messages() {
        return messages;
    }

    private void after(int millis, Runnable action) {
        events.add(new Event(now + millis, order++, action));
    }

    private final class Node {
        private final MemberTable table = new MemberTable();
        private final FailureDetector detector;
        private boolean alive = true;

        Node(Member self, List<Member> seeds) {
            detector = new FailureDetector(self, DetectorSettings.defaults(), table, random, now);
            perform(detector.onSeeds(seeds, now));
            after(random.nextInt(TICK_MILLIS), this::tick);
        }

        private void tick() {
            if (alive) {
                perform(detector.onTick(now));
                after(TICK_MILLIS, this::tick);
            }
        }

        private void perform(List<MembershipEffect> effects) {
            String self = detector.self().host();
            for (MembershipEffect effect : effects) {
                if (effect instanceof MembershipEffect.SendProbe p) {
                    send(p.to(), n -> n.perform(n.detector.onProbe(self, p.probeId(), p.target(), p.updates(), now)));
                } else if (effect instanceof MembershipEffect.SendReply r) {
                    send(r.to(), n -> n.perform(n.detector.onReply(self, r.probeId(), r.updates(), now)));
                }
            }
        }

        private void send(String to, Consumer<Node> delivery) {
            messages++;
            boolean lost =
                    random.nextDouble() < loss || cut.test(detector.self().host(), to);
            if (!lost) {
                after(1 + random.nextInt(10), () -> {
                    Node node = nodes.get(to);
                    if (node.alive) {
                        delivery.accept(node);
                    }
                });
            }
        }
    }
}
