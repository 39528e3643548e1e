package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.feed.CollectionFeed;
import org.gooseberryring.coordination.feed.FeedCall;
import org.gooseberryring.coordination.feed.FeedChanges;
import org.gooseberryring.coordination.feed.FeedListener;
import org.gooseberryring.coordination.feed.FeedPage;
import org.gooseberryring.coordination.feed.FeedTimes;
import org.gooseberryring.host.control.ControlLoop;

/**
 * Runs a feed on the control thread and makes its calls.
 *
 * @param <T> type of the content
 */
final class FeedRunner<T> {
    private final CollectionSource<T> source;
    private final ControlLoop control;
    private final CollectionFeed<T> feed;

    FeedRunner(
            CollectionSource<T> source,
            ControlLoop control,
            FeedTimes times,
            FeedListener<T> listener,
            RandomGenerator random,
            long now) {
        this.source = source;
        this.control = control;
        this.feed = new CollectionFeed<>(times, listener, random, now);
    }

    /** Lets time pass; must be called on the control thread. */
    void tick(long now) {
        make(feed.onTick(now));
    }

    private void make(List<FeedCall> calls) {
        for (FeedCall call : calls) {
            if (call instanceof FeedCall.ListPage list) {
                source.list(list.after()).whenComplete((page, failure) -> paged(list.id(), page));
            } else if (call instanceof FeedCall.Watch watch) {
                source.watch(watch.revision(), watch.waitMillis())
                        .whenComplete((changes, failure) -> watched(watch.id(), changes));
            }
        }
    }

    private void paged(long id, FeedPage<T> page) {
        control.put(now -> make(page == null ? feed.onFailed(id, now) : feed.onPage(id, page, now)));
    }

    /** Takes the answer to a watch, null if there was none. */
    private void watched(long id, Optional<FeedChanges<T>> changes) {
        control.put(now -> {
            if (changes == null) {
                make(feed.onFailed(id, now));
            } else if (changes.isEmpty()) {
                make(feed.onHistoryGone(id, now));
            } else {
                make(feed.onChanges(id, changes.get(), now));
            }
        });
    }
}
