package org.gooseberryring.coordination.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Selects keepers by rendezvous hashing, so that few organisations move when a host joins or leaves. */
public final class KeeperChoice {
    private KeeperChoice() {}

    /** Returns the hosts ordered by their rendezvous weight for a key, highest first. */
    public static List<String> rank(String key, Collection<String> hosts) {
        Map<String, Long> weights = new HashMap<>();
        hosts.forEach(host -> weights.put(host, weight(key, host)));
        List<String> ranked = new ArrayList<>(weights.keySet());
        Comparator<String> byWeight = Comparator.comparing(weights::get);
        ranked.sort(byWeight.reversed().thenComparing(Comparator.naturalOrder()));
        return ranked;
    }

    /**
     * Orders keepers by distance: this host, its failure domain, then the others. Within each group the order differs
     * between hosts, so that they do not all contact the same keeper first.
     */
    public static List<String> nearestFirst(
            String host, String failureDomain, String key, Map<String, String> domainOfKeeper) {
        List<String> ordered = rank(key + '/' + host, domainOfKeeper.keySet());
        ordered.sort(Comparator.comparingInt(keeper -> distance(host, failureDomain, keeper, domainOfKeeper)));
        return ordered;
    }

    private static int distance(String host, String failureDomain, String keeper, Map<String, String> domainOfKeeper) {
        if (keeper.equals(host)) {
            return 0;
        }
        return failureDomain.equals(domainOfKeeper.get(keeper)) ? 1 : 2;
    }

    private static long weight(String key, String host) {
        // FNV-1a with the finalizer of SplitMix64, because the FNV-1a hashes of short similar names differ in only a
        // few bits.
        long hash = 0xcbf29ce484222325L;
        String text = key + '\u0000' + host;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return (hash ^ (hash >>> 31)) >>> 1;
    }
}
