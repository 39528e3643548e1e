package org.gooseberryring.coordination.queue;

import java.util.List;

/**
 * Result of offering a request to a {@link FairQueue}.
 *
 * @param kind what became of the request
 * @param retryAfterMillis milliseconds after which offering it again helps, 0 if it was accepted
 * @param evicted requests of other organisations that were dropped to make room, which did not run
 * @param <T> type of the requests
 */
public record QueueOffer<T>(Kind kind, long retryAfterMillis, List<QueueItem<T>> evicted) {
    /** Kind of result. */
    public enum Kind {
        /** The request waits. */
        ACCEPTED,
        /** The queue, or the organisation's part of it, is full. */
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
