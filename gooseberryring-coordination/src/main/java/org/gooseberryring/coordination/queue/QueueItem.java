package org.gooseberryring.coordination.queue;

import org.gooseberryring.state.PriorityClass;

/**
 * Request in a {@link FairQueue}.
 *
 * @param id identifier, unique in the queue
 * @param organisation organisation that the request belongs to
 * @param priorityClass priority class of the request
 * @param target target of the request; requests that the same endpoints can serve have equal targets
 * @param costTokens cost of the request in tokens; values below 1 are raised to 1
 * @param deadline monotonic time in milliseconds by which the request must leave the queue
 * @param value queued request
 * @param <T> type of the request
 */
public record QueueItem<T>(
        String id,
        String organisation,
        PriorityClass priorityClass,
        Object target,
        long costTokens,
        long deadline,
        T value) {
    public QueueItem {
        costTokens = Math.max(1, costTokens);
    }
}
