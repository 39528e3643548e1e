package org.gooseberryring.coordination.direct;

import java.util.Map;

/**
 * Prompt parts that an endpoint has read lately for the requests of one host.
 *
 * @param endpoint endpoint that keeps them
 * @param model model that read them
 * @param tokens tokens of each part by its key, which also depends on the adapter and the parts before it
 */
public record PromptPlacement(String endpoint, String model, Map<Long, Integer> tokens) {
    public PromptPlacement {
        tokens = Map.copyOf(tokens);
    }
}
