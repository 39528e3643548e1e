package org.gooseberryring.host.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.gooseberryring.coordination.feed.FeedChanges;
import org.gooseberryring.coordination.feed.FeedPage;
import org.gooseberryring.coordination.store.StorePosition;

/**
 * Collection of the platform's store; the futures end on an I/O thread and fail if there is no answer.
 *
 * @param <T> type of the content
 */
public interface CollectionSource<T> {
    /** Reads the page of the list that begins after a name, the first one if it is empty. */
    CompletableFuture<FeedPage<T>> list(String after);

    /** Waits for changes after a position; empty if that history is gone. */
    CompletableFuture<Optional<WatchResponse<T>>> watch(StorePosition from, long waitMillis);

    /**
     * Decodes changes that another host passes on.
     *
     * @param epoch epoch of the store in which they were read
     * @throws org.gooseberryring.state.GooseberryringException if they cannot be read
     */
    FeedChanges<T> decode(byte[] encoded, long epoch);
}
