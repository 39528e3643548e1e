package org.gooseberryring.coordination.route;

import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which endpoint last served a prompt prefix.
 *
 * <p>Its entries are hints. The table is direct-mapped and of fixed size, so a colliding prefix replaces an older one.
 */
public final class PrefixAffinity {
    private final long[] hashes;
    private final String[] endpoints;
    private final int[] generations;
    private final Map<String, Integer> currentGenerations = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param entries number of prefixes to remember, a power of two; an entry takes about 16 bytes
     */
    public PrefixAffinity(int entries) {
        if (Integer.bitCount(entries) != 1) {
            throw new IllegalArgumentException("entries must be a power of two but is " + entries);
        }
        hashes = new long[entries];
        endpoints = new String[entries];
        generations = new int[entries];
    }

    /** Remembers that an endpoint holds a prefix; hash 0 is ignored. */
    public void remember(long prefixHash, String endpoint) {
        if (prefixHash == 0) {
            return;
        }
        int i = index(prefixHash);
        hashes[i] = prefixHash;
        endpoints[i] = endpoint;
        generations[i] = currentGenerations.getOrDefault(endpoint, 0);
    }

    /** Returns the endpoint that probably holds a prefix, or null. */
    public String find(long prefixHash) {
        int i = index(prefixHash);
        if (prefixHash == 0 || hashes[i] != prefixHash) {
            return null;
        }
        return generations[i] == currentGenerations.getOrDefault(endpoints[i], 0) ? endpoints[i] : null;
    }

    /** Drops all hints for an endpoint, after a restart or a gap in its cache events. */
    public void forget(String endpoint) {
        currentGenerations.merge(endpoint, 1, Integer::sum);
    }

    /** Drops all trace of an endpoint that left the configuration. */
    public void remove(String endpoint) {
        for (int i = 0; i < endpoints.length; i++) {
            if (endpoint.equals(endpoints[i])) {
                hashes[i] = 0;
                endpoints[i] = null;
            }
        }
        currentGenerations.remove(endpoint);
    }

    private int index(long prefixHash) {
        long mixed = prefixHash * 0x9E3779B97F4A7C15L;
        return (int) (mixed >>> 40) & hashes.length - 1;
    }
}
