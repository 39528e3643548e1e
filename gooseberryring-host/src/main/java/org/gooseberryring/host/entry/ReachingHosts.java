package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.gooseberryring.coordination.exchange.StateExchange;
import org.gooseberryring.protocol.peer.StateEntry;

/** Selects other hosts that reach endpoints, as far as they have reported. */
final class ReachingHosts {
    /** Time without a sign of life after which a host is not selected; live hosts send one every 300 ms. */
    private static final long MAX_SILENT_MILLIS = 1_500;

    private final StateExchange<StateKey, StateEntry> exchange;

    ReachingHosts(StateExchange<StateKey, StateEntry> exchange) {
        this.exchange = exchange;
    }

    /** Returns at most the given number of live hosts, at random, that have not reported the loss of all their paths. */
    List<String> select(int count, long now) {
        List<String> hosts = new ArrayList<>();
        exchange.ages(now).forEach((host, age) -> {
            if (isReaching(host, age)) {
                hosts.add(host);
            }
        });
        Collections.shuffle(hosts);
        return hosts.subList(0, Math.min(count, hosts.size()));
    }

    /** Returns whether a live host of a failure domain has not reported the loss of all its paths. */
    boolean hasAnyIn(String failureDomain, long now) {
        return exchange.ages(now).entrySet().stream()
                .anyMatch(each -> failureDomain.equals(exchange.failureDomain(each.getKey()))
                        && isReaching(each.getKey(), each.getValue()));
    }

    /** Returns whether a host has reported the loss of all its paths. */
    boolean isIsolated(String host) {
        StateEntry entry = exchange.entry(host, StateKey.reachability());
        return entry != null && entry.getReachability().getIsolated();
    }

    private boolean isReaching(String host, long age) {
        return age <= MAX_SILENT_MILLIS && exchange.entry(host, StateKey.reachability()) != null && !isIsolated(host);
    }
}
