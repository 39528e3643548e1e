package org.gooseberryring.coordination.feed;

import org.gooseberryring.coordination.store.StorePosition;

/** Call to the store that a feed requests; its response is passed to the feed with the same number. */
public sealed interface FeedCall {
    /** Returns the number of the call. */
    long id();

    /** Returns whether the call must use a new connection, because a kept one may not respond any more. */
    boolean newConnection();

    /** Returns the same call with another number, on a new connection. */
    FeedCall repeated(long newId);

    /** Returns the milliseconds that the store may wait before it responds. */
    long waitMillis();

    /**
     * Reads a page of the list.
     *
     * @param id number of the call
     * @param after name after which the page begins, empty for the first page
     * @param newConnection whether the call must use a new connection
     */
    record ListPage(long id, String after, boolean newConnection) implements FeedCall {
        @Override
        public FeedCall repeated(long newId) {
            return new ListPage(newId, after, true);
        }

        @Override
        public long waitMillis() {
            return 0;
        }
    }

    /**
     * Waits for changes.
     *
     * @param id number of the call
     * @param from position after which changes are requested
     * @param waitMillis longest wait in milliseconds
     * @param newConnection whether the call must use a new connection
     */
    record Watch(long id, StorePosition from, long waitMillis, boolean newConnection) implements FeedCall {
        @Override
        public FeedCall repeated(long newId) {
            return new Watch(newId, from, waitMillis, true);
        }
    }
}
