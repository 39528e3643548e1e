package org.gooseberryring.coordination.request;

import org.gooseberryring.state.PriorityClass;

/**
 * Properties of one caller's request that admission, queueing and routing use.
 *
 * @param id identifier given by the host, unique over all hosts
 * @param organisation organisation of the key, or null on an open route
 * @param target model or service that the request is for
 * @param priorityClass class in the fair queue
 * @param costTokens prompt tokens plus the largest number of output tokens; 0 for a plain service
 * @param prefixHash hash of the prompt prefix salted by organisation, 0 if there is none
 * @param digest digest of organisation, target and body, used to recognise a repeated request
 * @param idempotent whether it may be sent again after it may have run
 * @param idempotencyKey key that the caller gave, or null
 * @param deadline monotonic time in milliseconds after which the response is useless
 * @param handling request policy of the route
 */
public record RequestSpec(
        String id,
        String organisation,
        RequestTarget target,
        PriorityClass priorityClass,
        long costTokens,
        long prefixHash,
        String digest,
        boolean idempotent,
        String idempotencyKey,
        long deadline,
        RequestPolicy handling) {
    /** Creates a request of the product's own caller interface. */
    public RequestSpec(
            String id,
            String organisation,
            RequestTarget target,
            PriorityClass priorityClass,
            long costTokens,
            long prefixHash,
            String digest,
            boolean idempotent,
            String idempotencyKey,
            long deadline) {
        this(
                id,
                organisation,
                target,
                priorityClass,
                costTokens,
                prefixHash,
                digest,
                idempotent,
                idempotencyKey,
                deadline,
                RequestPolicy.STANDARD);
    }
}
