package org.gooseberryring.coordination.feed;

import java.util.List;

/**
 * Changes of a collection after a revision, in their order.
 *
 * @param changes changed and removed objects
 * @param revision revision to watch from next
 * @param <T> type of the content
 */
public record FeedChanges<T>(List<Change<T>> changes, long revision) {
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
