package org.gooseberryring.host.entry;

import java.util.OptionalLong;

import org.gooseberryring.state.PromptShape;
import org.gooseberryring.state.Route;

/**
 * Parsed head of a caller's request.
 *
 * @param requestId identifier that the caller gave
 * @param hostName value of the Host header field
 * @param key API key of the caller, null if it sent none
 * @param deadlineMillis milliseconds for which the caller waits, if specified
 * @param model model that the request is for, null for a plain request
 * @param adapter adapter of the model, null for the model itself
 * @param prompt parts and size of the prompt
 * @param sizeTokens tokens that the request counts for, if specified
 * @param lastEventId event after which the caller resumes a stream, if specified
 * @param resumedRequest identifier of the request that brought the first event of that stream, null if not specified
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
        OptionalLong lastEventId,
        String resumedRequest) {
    /** Returns the milliseconds after which a request on a route ends at the latest. */
    long waitMillis(Route route) {
        return Math.min(deadlineMillis.orElse(route.timeoutMillis()), route.timeoutMillis());
    }
}
