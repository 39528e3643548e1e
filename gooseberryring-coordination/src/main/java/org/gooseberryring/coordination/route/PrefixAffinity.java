package org.gooseberryring.coordination.route;

import java.util.HashMap;
import java.util.Map;

/**
 * Maps a prompt prefix to the endpoint that last served it.
 *
 * <p>Its entries are hints. The table is direct-mapped and of fixed size, so a colliding prefix replaces an older one.
 */
public final class PrefixAffinity {
    /** Hints for an endpoint between two gaps of its cache events. */
    private static final class Source {
        private final String endpoint;
        private boolean invalidated;

        Source(String endpoint) {
            this.endpoint = endpoint;
        }
    }

    private final long[] hashes;
    private final Source[] sources;
    private final Map<String, Source> current = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param entries number of prefixes to store, a power of two; an entry takes about 12 bytes
     */
    public PrefixAffinity(int entries) {
        if (Integer.bitCount(entries) != 1) {
            throw new IllegalArgumentException("entries must be a power of two but is " + entries);
        }
        hashes = new long[entries];
        sources = new Source[entries];
    }

    /** Records that an endpoint has a prefix cached; hash 0 is ignored. */
    public void put(long prefixHash, String endpoint) {
        if (prefixHash != 0) {
            int i = index(prefixHash);
            hashes[i] = prefixHash;
            sources[i] = current.computeIfAbsent(endpoint, Source::new);
        }
    }

    /** Returns the endpoint that probably has a prefix cached, or null. */
    public String find(long prefixHash) {
        int i = index(prefixHash);
        if (prefixHash == 0 || hashes[i] != prefixHash || sources[i].invalidated) {
            return null;
        }
        return sources[i].endpoint;
    }

    /** Removes all hints for an endpoint: after a restart, a gap in its cache events, or its removal. */
    public void removeEndpoint(String endpoint) {
        Source source = current.remove(endpoint);
        if (source != null) {
            source.invalidated = true;
        }
    }

    private int index(long prefixHash) {
        long mixed = prefixHash * 0x9E3779B97F4A7C15L;
        return (int) (mixed >>> 40) & hashes.length - 1;
    }
}
