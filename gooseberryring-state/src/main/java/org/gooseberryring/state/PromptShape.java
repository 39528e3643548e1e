package org.gooseberryring.state;

import java.util.List;

/**
 * Parts that a prompt consists of, as far as an endpoint can keep them in its cache.
 *
 * @param parts parts in their order; a part is only reused if all parts before it are
 * @param inputTokens tokens of the prompt
 * @param outputTokens largest number of tokens of the answer
 */
public record PromptShape(List<Part> parts, int inputTokens, int outputTokens) {
    /** Prompt whose parts are not known. */
    public static final PromptShape NONE = new PromptShape(List.of(), 0, 0);

    public PromptShape {
        parts = List.copyOf(parts);
    }

    /**
     * Part of a prompt.
     *
     * @param id identifier of its content
     * @param tokens length in tokens
     */
    public record Part(long id, int tokens) {}
}
