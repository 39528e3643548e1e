package org.gooseberryring.state;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Capabilities of the model engines of a service.
 *
 * @param slots maximum number of requests that one engine runs concurrently
 * @param cacheTokens capacity of its memory for running requests and cached prompts, in tokens
 * @param memoryBytes accelerator memory for weights and adapters, in bytes
 * @param adapterSlots maximum number of adapters that one engine can have loaded
 * @param storeLoadsPerSecond maximum number of loads from the weight store that may start per second across all engines
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
