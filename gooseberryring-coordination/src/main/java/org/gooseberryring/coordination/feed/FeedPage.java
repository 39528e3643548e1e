package org.gooseberryring.coordination.feed;

import java.util.List;

import org.gooseberryring.coordination.store.StorePosition;

/**
 * Part of the list of a collection, in the order of the names.
 *
 * @param items objects
 * @param more whether further pages follow
 * @param at position of the store
 * @param <T> type of the content
 */
public record FeedPage<T>(List<FeedItem<T>> items, boolean more, StorePosition at) {
    public FeedPage {
        items = List.copyOf(items);
    }
}
