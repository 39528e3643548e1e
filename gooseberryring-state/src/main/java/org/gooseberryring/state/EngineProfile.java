package org.gooseberryring.state;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What the model engines of a service can do.
 *
 * @param slots requests that one engine runs at once
 * @param cacheTokens tokens that its memory holds for running requests and kept prompts
 * @param memoryBytes accelerator memory for weights and adapters, in bytes
 * @param adapterSlots adapters that one engine holds at most
 * @param storeLoadsPerSecond loads from the weight store that may begin each second over all engines
 * @param models models by identifier
 */
public record EngineProfile(
        int slots,
        long cacheTokens,
        long memoryBytes,
        int adapterSlots,
        double storeLoadsPerSecond,
        SortedMap<String, ModelProfile> models) {
    public EngineProfile {
        models = Collections.unmodifiableSortedMap(new TreeMap<>(models));
    }
}
