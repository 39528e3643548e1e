package org.gooseberryring.coordination.queue;

import org.gooseberryring.state.PriorityClass;

/**
 * Request that waits in a {@link FairQueue}.
 *
 * @param id identifier, unique in the queue
 * @param organisation organisation that the request belongs to
 * @param priorityClass class of the request
 * @param target what the request needs, equal for requests that any endpoint takes alike
 * @param costTokens tokens that the request costs; less than 1 counts as 1
 * @param deadline monotonic time in milliseconds by which the request must leave the queue
 * @param value request itself
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
