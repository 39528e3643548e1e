package org.gooseberryring.host.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.gooseberryring.coordination.feed.FeedChanges;
import org.gooseberryring.coordination.feed.FeedPage;
import org.gooseberryring.coordination.store.StorePosition;

/**
 * Collection of the platform's store. The futures complete on an I/O thread, exceptionally if the store does not
 * respond.
 *
 * @param <T> type of the content
 */
public interface CollectionSource<T> {
    /**
     * Lists the page that begins after a name; an empty name gives the first page.
     *
     * @param newConnection whether no kept connection may be used, because it may not respond any more
     */
    CompletableFuture<FeedPage<T>> list(String after, boolean newConnection);

    /**
     * Waits for changes after a position; the result is empty if the store has discarded that history.
     *
     * @param newConnection whether no kept connection may be used, because it may not respond any more
     */
    CompletableFuture<Optional<WatchResponse<T>>> watch(StorePosition from, long waitMillis, boolean newConnection);

    /**
     * Decodes changes that another host has forwarded.
     *
     * @param epoch epoch of the store from which they were read
     * @throws org.gooseberryring.state.GooseberryringException if they cannot be decoded
     */
    FeedChanges<T> decode(byte[] encoded, long epoch);
}
