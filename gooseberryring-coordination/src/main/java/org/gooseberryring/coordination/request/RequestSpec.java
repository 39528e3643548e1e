package org.gooseberryring.coordination.request;

import org.gooseberryring.state.PriorityClass;

/**
 * What the decisions need to know of one caller's request.
 *
 * @param id identifier given by the host, unique over all hosts
 * @param organisation organisation of the key, or null on an open route
 * @param target model or service that the request is for
 * @param priorityClass class in the fair queue
 * @param costTokens prompt tokens plus the largest number of output tokens; 0 for a plain service
 * @param prefixHash hash of the prompt prefix salted by organisation, 0 if there is none
 * @param digest digest of organisation, target and body, used to recognise a request that is sent again
 * @param idempotent whether it may be sent again after it may have run
 * @param idempotencyKey key that the caller gave, or null
 * @param deadline monotonic time in milliseconds after which the answer is of no use
 * @param handling what the route of the request allows
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
