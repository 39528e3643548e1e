package org.gooseberryring.coordination.request;

import org.gooseberryring.state.PromptShape;

/**
 * What the route of a request allows and asks for.
 *
 * @param service service that the request counts for in the retry budget, empty if there is one budget for all
 * @param maxSends most endpoints that the request may be sent to
 * @param retriesNotRun whether a request that must not repeat may be sent again after an endpoint stated that it did
 *     not run
 * @param resumable whether a broken stream may go on at another endpoint
 * @param endsAtDeadline whether an answer that has started is broken off at the deadline
 * @param cancelsUnused whether a running request is cancelled when nobody waits for it, even if it must not repeat
 * @param rank urgency, 0 first
 * @param objective monotonic time in milliseconds by which the answer should start
 * @param startBy monotonic time in milliseconds by which an answer must start, or its caller has left
 * @param prompt parts of the prompt
 */
public record RequestPolicy(
        String service,
        int maxSends,
        boolean retriesNotRun,
        boolean resumable,
        boolean endsAtDeadline,
        boolean cancelsUnused,
        int rank,
        long objective,
        long startBy,
        PromptShape prompt) {
    private static final int STANDARD_SENDS = 3;

    private static final int STANDARD_RANK = 5;

    /** Handling of the product's own caller interface, which has no routes. */
    public static final RequestPolicy STANDARD = new RequestPolicy(
            "",
            STANDARD_SENDS,
            false,
            false,
            false,
            false,
            STANDARD_RANK,
            Long.MAX_VALUE,
            Long.MAX_VALUE,
            PromptShape.NONE);
}
