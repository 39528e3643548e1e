package org.gooseberryring.coordination.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Selects the hosts that pass requests on to endpoints which this host does not reach. */
final class RelayHosts {
    /** Time without a sign of life after which a host is not selected; live hosts send one every 300 ms. */
    private static final long MAX_SILENT_MILLIS = 1_500;

    /** Time for which a host that did not take a request is not selected. */
    private static final long UNAVAILABLE_MILLIS = 500;

    /** Time for which a host that does not reach an endpoint is not selected for it. */
    private static final long UNREACHABLE_MILLIS = 2_000;

    /** Factor of the cost of a host in another failure domain, to which each transferred byte costs more. */
    private static final double OTHER_DOMAIN_FACTOR = 2;

    /** Number of hosts among which the one with the most room is selected. */
    private static final int CHOICES = 2;

    private final String failureDomain;
    private final Random random;
    private final Map<String, HostReach> reports = new HashMap<>();
    private final Map<String, Long> seenAt = new HashMap<>();
    private final Map<String, Long> unavailableUntil = new HashMap<>();
    private final Map<Pair, Long> unreachableUntil = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private List<String> near = List.of();
    private List<String> far = List.of();

    /** Path of another host to an endpoint. */
    private record Pair(String host, String endpoint) {}

    RelayHosts(String failureDomain, Random random) {
        this.failureDomain = failureDomain;
        this.random = random;
    }

    void onReport(String host, HostReach report, long now) {
        HostReach old = reports.put(host, report);
        seenAt.put(host, now);
        if (old == null) {
            sortByDomain();
        }
    }

    void onHostRemoved(String host) {
        reports.remove(host);
        seenAt.remove(host);
        unavailableUntil.remove(host);
        unreachableUntil.keySet().removeIf(pair -> pair.host().equals(host));
        sortByDomain();
    }

    void setAges(Map<String, Long> ages, long now) {
        ages.forEach((host, age) -> seenAt.computeIfPresent(host, (key, old) -> now - age));
    }

    void onFailed(String host, String endpoint, RelayFailure failure, long now) {
        if (failure == RelayFailure.HOST_UNAVAILABLE) {
            unavailableUntil.put(host, now + UNAVAILABLE_MILLIS);
        } else {
            unreachableUntil.put(new Pair(host, endpoint), now + UNREACHABLE_MILLIS);
        }
    }

    void onStarted(String host) {
        inFlight.merge(host, 1, Integer::sum);
    }

    void onEnded(String host) {
        inFlight.computeIfPresent(host, (key, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the address at which a host takes requests, null if it is not known. */
    String address(String host) {
        HostReach report = reports.get(host);
        return report == null || report.relayAddress().isEmpty() ? null : report.relayAddress();
    }

    boolean anyIsolated() {
        return reports.values().stream().anyMatch(HostReach::isolated);
    }

    /** Returns whether a host has said within the last seconds that it does not reach an endpoint. */
    boolean anyFailedFor(String endpoint, long now) {
        unreachableUntil.values().removeIf(until -> now >= until);
        return unreachableUntil.keySet().stream()
                .anyMatch(pair -> pair.endpoint().equals(endpoint));
    }

    /** Returns a host that can pass a request on to an endpoint, null if there is none. */
    String choose(String endpoint, long now) {
        List<String> candidates = new ArrayList<>();
        addCandidates(near, endpoint, candidates, now);
        addCandidates(far, endpoint, candidates, now);
        String best = null;
        for (String candidate : candidates) {
            if (best == null || cost(candidate) < cost(best)) {
                best = candidate;
            }
        }
        return best;
    }

    /** Adds a few hosts of a list that can pass a request on, beginning at a random position. */
    private void addCandidates(List<String> hosts, String endpoint, List<String> candidates, long now) {
        int wanted = candidates.size() + CHOICES;
        int first = hosts.isEmpty() ? 0 : random.nextInt(hosts.size());
        for (int i = 0; i < hosts.size() && candidates.size() < wanted; i++) {
            String host = hosts.get((first + i) % hosts.size());
            if (isUsable(host, endpoint, now)) {
                candidates.add(host);
            }
        }
    }

    private boolean isUsable(String host, String endpoint, long now) {
        return reports.get(host).mayReach(endpoint)
                && now - seenAt.get(host) <= MAX_SILENT_MILLIS
                && now >= unavailableUntil.getOrDefault(host, Long.MIN_VALUE)
                && now >= unreachableUntil.getOrDefault(new Pair(host, endpoint), Long.MIN_VALUE);
    }

    private double cost(String host) {
        HostReach report = reports.get(host);
        double processors = report.processors() > 0 ? report.processors() : 1;
        double load = (1 + inFlight.getOrDefault(host, 0)) / processors;
        return report.failureDomain().equals(failureDomain) ? load : OTHER_DOMAIN_FACTOR * load;
    }

    private void sortByDomain() {
        near = hosts(true);
        far = hosts(false);
    }

    private List<String> hosts(boolean inSameDomain) {
        return reports.entrySet().stream()
                .filter(each -> each.getValue().failureDomain().equals(failureDomain) == inSameDomain)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
