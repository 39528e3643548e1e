package org.gooseberryring.coordination.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Simulates hosts that send requests to endpoints, while some hosts have lost their paths to endpoints. */
final class PathWorld {
    private static final long STEP_MILLIS = 50;
    private static final long PUBLISH_MILLIS = 200;
    private static final long MAX_MESSAGE_MILLIS = 300;
    private static final long CONNECT_TIMEOUT_MILLIS = 400;
    private static final long DEADLINE_MILLIS = 1_000;
    private static final int DOMAINS = 3;

    private final Random random;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final List<String> endpoints = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<String> deadEndpoints = new HashSet<>();
    private final boolean hangs;
    private Map<String, Set<String>> cutPaths = new HashMap<>();
    private long now;
    private long eventCount;
    private int checks;

    /** Requests of a group of hosts. */
    static final class Tally {
        private int sent;
        private int served;
        private int relayed;

        /** Returns the number of served requests that another host passed on. */
        int relayed() {
            return relayed;
        }

        double servedShare() {
            return (double) served / sent;
        }
    }

    private record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at == other.at ? Long.compare(number, other.number) : Long.compare(at, other.at);
        }
    }

    private static final class Host {
        private final String id;
        private final String domain;
        private final EndpointPaths paths;
        private OwnReach published;

        private Host(String id, String domain, Random random) {
            this.id = id;
            this.domain = domain;
            paths = new EndpointPaths(domain, random);
        }
    }

    /** Creates a world; connections on paths that are down time out if {@code hangs}, else they are refused. */
    PathWorld(long seed, int hostCount, int endpointCount, boolean hangs) {
        random = new Random(seed);
        this.hangs = hangs;
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add("e" + i);
        }
        for (int i = 0; i < hostCount; i++) {
            Host host = new Host("h" + i, "d" + i % DOMAINS, new Random(seed + i));
            endpoints.forEach(endpoint -> host.paths.onEndpointAdded(endpoint, 0));
            hosts.put(host.id, host);
        }
    }

    /** Takes the paths of the first hosts to the given share of the endpoints away. */
    void cut(int hostCount, double endpointShare) {
        cutPaths = new HashMap<>();
        hosts.keySet().stream()
                .limit(hostCount)
                .forEach(host -> cutPaths.put(host, new HashSet<>(endpoints.subList(0, (int)
                        Math.ceil(endpointShare * endpoints.size())))));
    }

    void heal() {
        cutPaths = new HashMap<>();
    }

    void kill(String endpoint) {
        deadEndpoints.add(endpoint);
    }

    int takeChecks() {
        int taken = checks;
        checks = 0;
        return taken;
    }

    /** Runs for a time and returns the requests of hosts with cut paths and of the others. */
    Map<Boolean, Tally> run(long millis, double requestsPerStep) {
        Map<Boolean, Tally> tallies = Map.of(true, new Tally(), false, new Tally());
        long end = now + millis;
        while (now < end) {
            now += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            for (Host host : hosts.values()) {
                host.paths.takeChecks(now).forEach(endpoint -> check(host, endpoint));
                if (now % PUBLISH_MILLIS == 0) {
                    publish(host);
                }
                if (random.nextDouble() < requestsPerStep) {
                    Tally tally = tallies.get(cutPaths.containsKey(host.id));
                    tally.sent++;
                    send(host, new HashSet<>(), now + DEADLINE_MILLIS, tally);
                }
            }
        }
        return tallies;
    }

    private void check(Host host, String endpoint) {
        checks++;
        boolean connects = connects(host, endpoint);
        after(failMillis(connects), () -> host.paths.onChecked(endpoint, connects, now));
    }

    private void publish(Host host) {
        OwnReach reach = host.paths.reach();
        boolean changed = !reach.equals(host.published);
        host.published = reach;
        HostReach report = new HostReach(host.domain, host.id + ":1", 1, reach.isolated(), reach.unreachable());
        for (Host other : hosts.values()) {
            if (other != host && changed) {
                after(random.nextLong(MAX_MESSAGE_MILLIS), () -> other.paths.onHostReport(host.id, report, now));
            }
        }
        Map<String, Long> ages = new HashMap<>();
        hosts.keySet().forEach(each -> ages.put(each, 300L));
        host.paths.setHostAges(ages, now);
    }

    /** Sends a request to an endpoint at which it has not failed, as the router prefers them, while there is time. */
    private void send(Host host, Set<String> failedAt, long deadline, Tally tally) {
        List<String> usable = endpoints.stream()
                .filter(each -> host.paths.isUsable(each, now) && !failedAt.contains(each))
                .toList();
        if (now >= deadline || usable.isEmpty()) {
            return;
        }
        String endpoint = usable.get(random.nextInt(usable.size()));
        String via = host.paths.relay(endpoint, now);
        if (via == null) {
            sendDirectly(host, endpoint, failedAt, deadline, tally);
        } else {
            sendThrough(host, hosts.get(via), endpoint, failedAt, deadline, tally);
        }
    }

    private void sendDirectly(Host host, String endpoint, Set<String> failedAt, long deadline, Tally tally) {
        if (connects(host, endpoint)) {
            tally.served++;
            return;
        }
        after(failMillis(false), () -> {
            failedAt.add(endpoint);
            host.paths.onConnectFailed(endpoint, now);
            send(host, failedAt, deadline, tally);
        });
    }

    private void sendThrough(Host host, Host relay, String endpoint, Set<String> failedAt, long deadline, Tally tally) {
        if (connects(relay, endpoint)) {
            tally.served++;
            tally.relayed++;
            return;
        }
        long millis = relay.paths.isDown(endpoint) ? 1 : failMillis(false);
        after(millis, () -> {
            host.paths.onRelayFailed(relay.id, endpoint, RelayFailure.ENDPOINT_UNREACHABLE, now);
            send(host, failedAt, deadline, tally);
        });
    }

    private boolean connects(Host host, String endpoint) {
        return !deadEndpoints.contains(endpoint)
                && !cutPaths.getOrDefault(host.id, Set.of()).contains(endpoint);
    }

    private long failMillis(boolean connects) {
        return !connects && hangs ? CONNECT_TIMEOUT_MILLIS : 1;
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(now + millis, eventCount++, action));
    }
}
