package org.gooseberryring.coordination.feed;

import java.util.List;

import org.gooseberryring.coordination.store.StorePosition;

/**
 * Changes of a collection after a revision, in their order.
 *
 * @param changes changed and removed objects
 * @param at position to watch from next
 * @param <T> type of the content
 */
public record FeedChanges<T>(List<Change<T>> changes, StorePosition at) {
    public FeedChanges {
        changes = List.copyOf(changes);
    }

    /**
     * Change of one object.
     *
     * @param item object after the change, or as it was last
     * @param removed whether the object is gone
     * @param <T> type of the content
     */
    public record Change<T>(FeedItem<T> item, boolean removed) {}
}
