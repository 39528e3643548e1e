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
 * Estimates which prompt parts an endpoint has in its cache, in least-recently-used order.
 *
 * <p>The key of a part is a hash of its identifier, the preceding parts, and the service, model and adapter that
 * process it. All hosts compute the same key.
 */
final class PromptCache {
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_ENTRIES = 64;

    private final LinkedHashMap<Long, CachedPart> parts = new LinkedHashMap<>(INITIAL_ENTRIES, LOAD_FACTOR, true);
    private final Map<String, Map<Long, Integer>> newParts = new HashMap<>();
    private long capacityTokens;
    private long tokens;

    private record CachedPart(String model, int tokens) {}

    PromptCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    void setCapacity(long newCapacityTokens) {
        capacityTokens = newCapacityTokens;
        evictToCapacity();
    }

    /** Returns the number of leading prompt tokens that the endpoint has cached. */
    int cachedTokens(RequestTarget.RoutedTarget target, PromptShape prompt) {
        int cached = 0;
        long key = salt(target);
        for (PromptShape.Part part : prompt.parts()) {
            key = key(key, part);
            if (!parts.containsKey(key)) {
                break;
            }
            cached += part.tokens();
        }
        return cached;
    }

    /** Records that the endpoint processes a prompt of this host and caches its parts. */
    void add(RequestTarget.RoutedTarget target, PromptShape prompt) {
        if (target.model() == null) {
            return;
        }
        long key = salt(target);
        Map<Long, Integer> read = newParts.computeIfAbsent(target.model(), model -> new HashMap<>());
        for (PromptShape.Part part : prompt.parts()) {
            key = key(key, part);
            put(key, target.model(), part.tokens());
            read.put(key, part.tokens());
        }
        evictToCapacity();
    }

    /** Records prompt parts that the endpoint has processed for another host. */
    void addAll(String model, Map<Long, Integer> read) {
        read.forEach((key, size) -> put(key, model, size));
        evictToCapacity();
    }

    /** Returns and clears the parts processed for this host since the last call, by model. */
    Map<String, Map<Long, Integer>> takeNewParts() {
        Map<String, Map<Long, Integer>> taken = Map.copyOf(newParts);
        newParts.clear();
        return taken;
    }

    /** Removes the parts of models that the endpoint no longer has loaded. */
    void retainModels(Set<String> models) {
        parts.values().removeIf(cached -> {
            boolean unloaded = !models.contains(cached.model());
            tokens -= unloaded ? cached.tokens() : 0;
            return unloaded;
        });
    }

    void clear() {
        parts.clear();
        newParts.clear();
        tokens = 0;
    }

    private void put(long key, String model, int size) {
        CachedPart old = parts.put(key, new CachedPart(model, size));
        tokens += size - (old == null ? 0 : old.tokens());
    }

    private void evictToCapacity() {
        Iterator<Map.Entry<Long, CachedPart>> oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue().tokens();
            oldest.remove();
        }
    }

    private static long salt(RequestTarget.RoutedTarget target) {
        return Objects.hash(target.service(), target.model(), target.adapter());
    }

    private static long key(long previousKey, PromptShape.Part part) {
        long mixed = (previousKey ^ part.id()) * HASH_MULTIPLIER;
        return mixed ^ (mixed >>> 29);
    }
}
