package org.gooseberryring.coordination.feed;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.store.StorePosition;

/**
 * Ordered changes of a collection after a revision.
 *
 * @param changes changed and removed objects
 * @param at position to watch from next
 * @param <T> type of the content
 */
public record FeedChanges<T>(List<Change<T>> changes, StorePosition at) {
    public FeedChanges {
        changes = List.copyOf(changes);
    }

    /** Returns the newest change of each object, so that an object that was removed again is not added briefly. */
    public Collection<Change<T>> newest() {
        Map<String, Change<T>> newest = new LinkedHashMap<>();
        changes.forEach(change -> newest.put(change.item().name(), change));
        return newest.values();
    }

    /**
     * Change of one object.
     *
     * @param item object after the change, or its last state if it was removed, with a revision not before its last change
     * @param removed whether the object was removed
     * @param <T> type of the content
     */
    public record Change<T>(FeedItem<T> item, boolean removed) {}
}
