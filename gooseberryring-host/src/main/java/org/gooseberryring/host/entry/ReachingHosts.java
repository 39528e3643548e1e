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
            StateEntry entry = exchange.entry(host, StateKey.reachability());
            if (age <= MAX_SILENT_MILLIS
                    && entry != null
                    && !entry.getReachability().getIsolated()) {
                hosts.add(host);
            }
        });
        Collections.shuffle(hosts);
        return hosts.subList(0, Math.min(count, hosts.size()));
    }
}
