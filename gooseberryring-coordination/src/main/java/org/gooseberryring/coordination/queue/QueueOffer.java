package org.gooseberryring.coordination.queue;

import java.util.List;

/**
 * Result of offering a request to a {@link FairQueue}.
 *
 * @param kind result for the request
 * @param retryAfterMillis milliseconds after which a new offer may succeed, 0 if the request was accepted
 * @param evicted requests of other organisations that were removed to free capacity; these requests did not run
 * @param <T> type of the requests
 */
public record QueueOffer<T>(Kind kind, long retryAfterMillis, List<QueueItem<T>> evicted) {
    /** Kind of result. */
    public enum Kind {
        /** The request is queued. */
        ACCEPTED,
        /** The queue or the organisation's share of the queue is full. */
        FULL,
        /** The request cannot leave the queue before its deadline. */
        DEADLINE_UNREACHABLE
    }

    public QueueOffer {
        evicted = List.copyOf(evicted);
    }

    static <T> QueueOffer<T> refused(Kind kind, long retryAfterMillis) {
        return new QueueOffer<>(kind, retryAfterMillis, List.of());
    }
}
