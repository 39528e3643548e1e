package org.gooseberryring.coordination.feed;

import org.gooseberryring.coordination.store.StorePosition;

/** Call to the store that a feed requests; its response is passed to the feed with the same number. */
public sealed interface FeedCall {
    /** Returns the number of the call. */
    long id();

    /**
     * Reads a page of the list.
     *
     * @param id number of the call
     * @param after name after which the page begins, empty for the first page
     */
    record ListPage(long id, String after) implements FeedCall {}

    /**
     * Waits for changes.
     *
     * @param id number of the call
     * @param from position after which changes are requested
     * @param waitMillis longest wait in milliseconds
     */
    record Watch(long id, StorePosition from, long waitMillis) implements FeedCall {}
}
