package org.gooseberryring.coordination.direct;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberryring.state.PromptShape;

/** Estimate of the prompt parts that an endpoint keeps, the least recently used first. */
final class PromptCache {
    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_ENTRIES = 64;

    private final LinkedHashMap<Long, Integer> parts = new LinkedHashMap<>(INITIAL_ENTRIES, LOAD_FACTOR, true);
    private long capacityTokens;
    private long tokens;

    PromptCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    void capacity(long newCapacityTokens) {
        capacityTokens = newCapacityTokens;
        shrink();
    }

    /** Returns the tokens at the beginning of a prompt that need not be read again. */
    int keptTokens(long salt, PromptShape prompt) {
        int kept = 0;
        long key = salt;
        for (PromptShape.Part part : prompt.parts()) {
            key = key(key, part);
            if (!parts.containsKey(key)) {
                break;
            }
            kept += part.tokens();
        }
        return kept;
    }

    /** Notes that the endpoint reads a prompt, after which it keeps its parts. */
    void add(long salt, PromptShape prompt) {
        long key = salt;
        for (PromptShape.Part part : prompt.parts()) {
            key = key(key, part);
            Integer old = parts.put(key, part.tokens());
            tokens += part.tokens() - (old == null ? 0 : old);
        }
        shrink();
    }

    void clear() {
        parts.clear();
        tokens = 0;
    }

    private void shrink() {
        Iterator<Map.Entry<Long, Integer>> oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    private static long key(long before, PromptShape.Part part) {
        long mixed = (before ^ part.id()) * MIX;
        return mixed ^ (mixed >>> 29);
    }
}
