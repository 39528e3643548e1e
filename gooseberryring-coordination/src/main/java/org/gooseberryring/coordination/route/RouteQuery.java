package org.gooseberryring.coordination.route;

import java.util.Set;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.PromptShape;

/**
 * Properties of a request that the router uses.
 *
 * @param requestId identifier of the request, empty if it is not known
 * @param target model or service that the request is for
 * @param prefixHash hash of the salted prompt prefix, 0 if there is none
 * @param alone whether it must run alone on its endpoint because it may crash it
 * @param relayed whether it came from another failure domain and must not be relayed again
 * @param prompt parts of the prompt, {@link PromptShape#NONE} if they are not known
 * @param objective monotonic time in milliseconds by which the response should start
 * @param startBy monotonic time in milliseconds by which the response must start
 * @param failedAt endpoints at which an attempt of this request failed
 * @param softwareVersion software version that the endpoint must have, null for any
 */
public record RouteQuery(
        String requestId,
        RequestTarget target,
        long prefixHash,
        boolean alone,
        boolean relayed,
        PromptShape prompt,
        long objective,
        long startBy,
        Set<String> failedAt,
        String softwareVersion) {
    /** Creates a query for an endpoint of any software version. */
    public RouteQuery(
            String requestId,
            RequestTarget target,
            long prefixHash,
            boolean alone,
            boolean relayed,
            PromptShape prompt,
            long objective,
            long startBy,
            Set<String> failedAt) {
        this(requestId, target, prefixHash, alone, relayed, prompt, objective, startBy, failedAt, null);
    }

    /** Creates a query for a request whose prompt parts are not known and that has not failed yet. */
    public RouteQuery(RequestTarget target, long prefixHash, boolean alone, boolean relayed) {
        this("", target, prefixHash, alone, relayed, PromptShape.NONE, Long.MAX_VALUE, Long.MAX_VALUE, Set.of());
    }

    /**
     * Returns the time until which the request may wait.
     *
     * @param lateMillis time after its objective at which a generation is rejected
     */
    public long latestStart(long lateMillis) {
        boolean endsAtObjective = prompt.inputTokens() > 0 && objective < startBy - lateMillis;
        return endsAtObjective ? objective + lateMillis : startBy;
    }
}
