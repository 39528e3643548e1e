package org.gooseberryring.host.entry;

import java.util.OptionalLong;

import org.gooseberryring.state.PromptShape;

/**
 * What the head of a caller's request says.
 *
 * @param requestId identifier that the caller gave
 * @param hostName value of the Host header
 * @param key key of the caller, null if it gave none
 * @param deadlineMillis milliseconds for which the caller waits, if it says so
 * @param model model that the request is for, null for a plain request
 * @param adapter adapter of the model, null for the model itself
 * @param prompt parts and size of the prompt
 * @param sizeTokens tokens that the request counts, if it says so
 * @param lastEventId event after which the caller wants a stream to go on, if it says so
 */
public record RequestHead(
        String requestId,
        String hostName,
        String key,
        OptionalLong deadlineMillis,
        String model,
        String adapter,
        PromptShape prompt,
        OptionalLong sizeTokens,
        OptionalLong lastEventId) {}
