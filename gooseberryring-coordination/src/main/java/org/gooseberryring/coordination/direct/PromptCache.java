package org.gooseberryring.coordination.direct;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.PromptShape;

/**
 * Estimate of the prompt parts that an endpoint keeps, the least recently used first.
 *
 * <p>A part is known by a key made of its identifier, the parts before it and the model and adapter that read it, which
 * is the same on all hosts.
 */
final class PromptCache {
    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_ENTRIES = 64;

    private final LinkedHashMap<Long, Kept> parts = new LinkedHashMap<>(INITIAL_ENTRIES, LOAD_FACTOR, true);
    private final Map<String, Map<Long, Integer>> fresh = new HashMap<>();
    private long capacityTokens;
    private long tokens;

    private record Kept(String model, int tokens) {}

    PromptCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    void capacity(long newCapacityTokens) {
        capacityTokens = newCapacityTokens;
        shrink();
    }

    /** Returns the tokens at the beginning of a prompt that need not be read again. */
    int keptTokens(RequestTarget.RoutedTarget target, PromptShape prompt) {
        int kept = 0;
        long key = salt(target);
        for (PromptShape.Part part : prompt.parts()) {
            key = key(key, part);
            if (!parts.containsKey(key)) {
                break;
            }
            kept += part.tokens();
        }
        return kept;
    }

    /** Notes that the endpoint reads a prompt of this host, after which it keeps its parts. */
    void add(RequestTarget.RoutedTarget target, PromptShape prompt) {
        if (target.model() == null) {
            return;
        }
        long key = salt(target);
        Map<Long, Integer> read = fresh.computeIfAbsent(target.model(), model -> new HashMap<>());
        for (PromptShape.Part part : prompt.parts()) {
            key = key(key, part);
            put(key, target.model(), part.tokens());
            read.put(key, part.tokens());
        }
        shrink();
    }

    /** Notes that the endpoint has read parts of prompts of another host. */
    void addAll(String model, Map<Long, Integer> read) {
        read.forEach((key, size) -> put(key, model, size));
        shrink();
    }

    /** Returns the parts read for this host since the last call by model, and forgets that they are new. */
    Map<String, Map<Long, Integer>> takeFresh() {
        Map<String, Map<Long, Integer>> taken = Map.copyOf(fresh);
        fresh.clear();
        return taken;
    }

    /** Forgets what was read by models that the endpoint no longer holds. */
    void retainModels(Set<String> models) {
        parts.values().removeIf(kept -> {
            boolean gone = !models.contains(kept.model());
            tokens -= gone ? kept.tokens() : 0;
            return gone;
        });
    }

    void clear() {
        parts.clear();
        fresh.clear();
        tokens = 0;
    }

    private void put(long key, String model, int size) {
        Kept old = parts.put(key, new Kept(model, size));
        tokens += size - (old == null ? 0 : old.tokens());
    }

    private void shrink() {
        Iterator<Map.Entry<Long, Kept>> oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue().tokens();
            oldest.remove();
        }
    }

    private static long salt(RequestTarget.RoutedTarget target) {
        return Objects.hash(target.service(), target.model(), target.adapter());
    }

    private static long key(long before, PromptShape.Part part) {
        long mixed = (before ^ part.id()) * MIX;
        return mixed ^ (mixed >>> 29);
    }
}
