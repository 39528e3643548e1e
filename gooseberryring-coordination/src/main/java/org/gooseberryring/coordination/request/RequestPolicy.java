package org.gooseberryring.coordination.request;

import org.gooseberryring.coordination.stream.StreamReference;
import org.gooseberryring.state.PromptShape;

/**
 * Retry, deadline and priority policy that the route of a request defines.
 *
 * @param service service that the request counts for in the retry budget, empty if there is one budget for all
 * @param maxSends maximum number of endpoints that the request may be sent to
 * @param retriesNotRun whether a request that must not repeat may be sent again after an endpoint stated that it did
 *     not run
 * @param resumable whether a broken stream may be resumed at another endpoint
 * @param endsAtDeadline whether a response that has started is aborted at the deadline
 * @param cancelsUnused whether a running request is cancelled when its response is no longer needed, even if it must
 *     not repeat
 * @param rank urgency, 0 first
 * @param objective monotonic time in milliseconds by which the response should start
 * @param startBy monotonic time in milliseconds by which a response must start before its caller disconnects
 * @param prompt parts of the prompt
 * @param stream stream that the request begins or takes up, null if another endpoint may not continue its response
 * @param ageErrorMillis time by which the request may be younger than its deadline assumes, in milliseconds
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
        PromptShape prompt,
        StreamReference stream,
        long ageErrorMillis) {
    private static final int STANDARD_SENDS = 3;

    private static final int STANDARD_RANK = 5;

    /** Policy of the product's own caller interface, which has no routes. */
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

    /** Creates the policy of a request whose age is known, and whose stream, if it is one, has no key. */
    public RequestPolicy(
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
        this(
                service,
                maxSends,
                retriesNotRun,
                resumable,
                endsAtDeadline,
                cancelsUnused,
                rank,
                objective,
                startBy,
                prompt,
                resumable ? new StreamReference(StreamReference.UNKNOWN_KEY, false) : null,
                0);
    }
}
