package org.gooseberryring.coordination.feed;

import org.gooseberryring.coordination.store.StorePosition;

/**
 * Handles changes of the objects of a collection.
 *
 * @param <T> type of the content
 */
public interface FeedListener<T> {
    /** Handles an added or changed object; {@code value} is null if it cannot be read. */
    void onChanged(String name, T value, long now);

    /** Handles the removal of an object. */
    void onRemoved(String name, long now);

    /** Handles that the complete collection was read, for the first time or again after missed changes. */
    default void onListed(StorePosition at, long now) {}

    /** Handles that the store has stopped responding or responds again. */
    default void onContactChanged(boolean inContact, long now) {}
}
