package org.gooseberryring.coordination.feed;

import java.util.List;

/**
 * Part of the list of a collection, in the order of the names.
 *
 * @param items objects
 * @param more whether further pages follow
 * @param revision revision of the store
 * @param <T> type of the content
 */
public record FeedPage<T>(List<FeedItem<T>> items, boolean more, long revision) {
    public FeedPage {
        items = List.copyOf(items);
    }
}
