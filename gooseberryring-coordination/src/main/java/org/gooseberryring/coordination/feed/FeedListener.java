package org.gooseberryring.coordination.feed;

import org.gooseberryring.coordination.store.StorePosition;

/**
 * Hears of the objects of a collection.
 *
 * @param <T> type of the content
 */
public interface FeedListener<T> {
    /** An object is new or has changed; {@code value} is null if it cannot be read. */
    void onChanged(String name, T value, long now);

    /** An object is gone. */
    void onRemoved(String name, long now);

    /** The whole collection was read for the first time, or again after a gap. */
    default void onListed(StorePosition at, long now) {}

    /** The store did not answer any more, or answers again. */
    default void onContactChanged(boolean inContact, long now) {}
}
