package org.gooseberryring.state;

import java.util.List;

/**
 * Cacheable parts of a prompt.
 *
 * @param parts parts in order; an endpoint can reuse a cached part only if it reuses all parts before it
 * @param inputTokens number of tokens of the prompt
 * @param outputTokens maximum number of tokens of the response
 */
public record PromptShape(List<Part> parts, int inputTokens, int outputTokens) {
    /** Shape of a prompt whose parts are unknown. */
    public static final PromptShape NONE = new PromptShape(List.of(), 0, 0);

    public PromptShape {
        parts = List.copyOf(parts);
    }

    /** Returns the parts that other requests may have as well: all but the last, which belongs to the request itself. */
    public List<Part> sharedParts() {
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }

    /**
     * Part of a prompt.
     *
     * @param id identifier of the content
     * @param tokens length in tokens
     */
    public record Part(long id, int tokens) {}
}
