package org.gooseberryring.coordination.direct;

import java.util.Map;

/**
 * Prompt parts that an endpoint has recently processed for the requests of one host.
 *
 * @param endpoint endpoint that caches them
 * @param model model that processed them
 * @param tokens number of tokens of each part by key; the key also covers the adapter and the preceding parts
 */
public record PromptPlacement(String endpoint, String model, Map<Long, Integer> tokens) {
    public PromptPlacement {
        tokens = Map.copyOf(tokens);
    }
}
