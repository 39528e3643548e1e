package org.gooseberryring.coordination.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/** Hosts in failure domains that exchange their state in virtual time over links that can be cut. */
final class ExchangeWorld {
    private static final long TICK_MILLIS = 100;
    private static final long NEAR_MILLIS = 1;
    private static final long FAR_MILLIS = 3;

    private final Map<String, Node> nodes = new TreeMap<>();
    private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingLong(Arrival::at));
    private BiPredicate<ExchangeMember, ExchangeMember> cut = (from, to) -> false;
    private long incarnations;
    private long now;

    private record Arrival(long at, String from, long incarnation, String to, ExchangeMessage<String, Long> sync) {}

    /** Host with the state that it has received. */
    final class Node {
        private final ExchangeMember member;
        private final Map<String, Map<String, Long>> received = new HashMap<>();
        private final Map<String, Long> own = new HashMap<>();
        private final Map<String, List<Long>> notices = new HashMap<>();
        private StateExchange<String, Long> exchange;
        private long incarnation;
        private boolean running;
        private boolean frozen;
        private long sent;
        private long updates;
        private int regressions;

        Node(ExchangeMember member) {
            this.member = member;
        }

        StateExchange<String, Long> exchange() {
            return exchange;
        }

        /** Returns the value of an entry of a host, null if there is none. */
        Long value(String host, String key) {
            return exchange.state(host).get(key);
        }

        /** Returns the number of messages sent since the last call. */
        long takeSent() {
            long result = sent;
            sent = 0;
            return result;
        }

        /** Returns the number of host updates sent since the last call. */
        long takeUpdates() {
            long result = updates;
            updates = 0;
            return result;
        }

        int regressions() {
            return regressions;
        }

        List<Long> notices(String host) {
            return notices.getOrDefault(host, List.of());
        }

        void publish(String key, Long value) {
            if (value == null) {
                own.remove(key);
            } else {
                own.put(key, value);
            }
            exchange.publish(own, List.of(), now);
        }

        void notice(long value) {
            exchange.publish(own, List.of(value), now);
        }

        private void start() {
            incarnation = ++incarnations;
            running = true;
            received.clear();
            own.clear();
            exchange = new StateExchange<>(member, incarnation, ExchangeTimes.defaults(), now);
            nodes.values().forEach(other -> exchange.addOrUpdateMember(other.member));
        }

        private void perform(List<ExchangeEffect<String, Long>> effects) {
            for (ExchangeEffect<String, Long> effect : effects) {
                if (effect instanceof ExchangeEffect.Send<String, Long> send) {
                    sent++;
                    updates += send.sync().updates().size();
                    send(send.host(), send.sync());
                } else if (effect instanceof ExchangeEffect.HostUpdated<String, Long> changed) {
                    changed(changed.update());
                }
            }
        }

        private void changed(RecordUpdate<String, Long> update) {
            Map<String, Long> values = received.computeIfAbsent(update.host(), host -> new HashMap<>());
            update.entries().forEach((key, value) -> {
                Long before = values.put(key, value);
                // Values only increase in these tests, even across restarts.
                regressions += before != null && before > value ? 1 : 0;
            });
            notices.computeIfAbsent(update.host(), host -> new ArrayList<>()).addAll(update.notices());
        }

        private void send(String to, ExchangeMessage<String, Long> sync) {
            Node receiver = nodes.get(to);
            if (receiver != null && !cut.test(member, receiver.member)) {
                boolean near = member.failureDomain().equals(receiver.member.failureDomain());
                long at = now + (near ? NEAR_MILLIS : FAR_MILLIS);
                arrivals.add(new Arrival(at, member.host(), incarnation, to, sync));
            }
        }
    }

    /** Adds hosts to each of the given number of failure domains and starts them. */
    ExchangeWorld(int domains, int hostsPerDomain) {
        for (int domain = 0; domain < domains; domain++) {
            for (int host = 0; host < hostsPerDomain; host++) {
                String name = "d%d-h%02d".formatted(domain, host);
                nodes.put(name, new Node(new ExchangeMember(name, "d" + domain, 1)));
            }
        }
        nodes.values().forEach(Node::start);
    }

    Node node(String host) {
        return nodes.get(host);
    }

    List<Node> running() {
        return nodes.values().stream().filter(node -> node.running).toList();
    }

    Set<String> hosts() {
        return new HashSet<>(nodes.keySet());
    }

    /** Cuts the links for which the predicate holds, in the direction of its arguments. */
    void cut(BiPredicate<ExchangeMember, ExchangeMember> links) {
        cut = links;
    }

    void kill(String host) {
        nodes.get(host).running = false;
    }

    void restart(String host) {
        nodes.get(host).start();
    }

    /** Removes a host from the directory of all other hosts, or lists it again. */
    void setListed(String host, boolean listed) {
        ExchangeMember member = nodes.get(host).member;
        for (Node node : nodes.values()) {
            if (listed) {
                node.exchange.addOrUpdateMember(member);
            } else {
                node.exchange.onMemberRemoved(host);
            }
        }
    }

    void freeze(String host, boolean frozen) {
        nodes.get(host).frozen = frozen;
    }

    long now() {
        return now;
    }

    /** Advances the time; the hosts tick one after the other within each interval. */
    void advance(long millis) {
        long end = now + millis;
        while (now < end) {
            now++;
            while (!arrivals.isEmpty() && arrivals.peek().at() <= now) {
                deliver(arrivals.poll());
            }
            int phase = 0;
            for (Node node : nodes.values()) {
                if (node.running && !node.frozen && now % TICK_MILLIS == phase++ * 7 % TICK_MILLIS) {
                    node.perform(node.exchange.onTick(now));
                }
            }
        }
    }

    private void deliver(Arrival arrival) {
        Node node = nodes.get(arrival.to());
        if (node.running && !node.frozen) {
            node.perform(node.exchange.onMessage(arrival.from(), arrival.incarnation(), arrival.sync(), now));
        }
    }
}
