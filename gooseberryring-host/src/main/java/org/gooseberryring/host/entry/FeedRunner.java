package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.feed.CollectionFeed;
import org.gooseberryring.coordination.feed.FeedCall;
import org.gooseberryring.coordination.feed.FeedChanges;
import org.gooseberryring.coordination.feed.FeedListener;
import org.gooseberryring.coordination.feed.FeedPage;
import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.feed.FeedTimes;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.GooseberryringException;
import org.jboss.logging.Logger;

/**
 * Runs a feed on the control thread and makes its calls.
 *
 * @param <T> type of the content
 */
final class FeedRunner<T> {
    private static final Logger LOG = Logger.getLogger(FeedRunner.class);

    private final String collection;
    private final CollectionSource<T> source;
    private final ControlLoop control;
    private final CollectionFeed<T> feed;
    private final Passing passing;
    private final StoreEpochs epochs;

    /** Passes changes of a collection on to the hosts that rely on this one. */
    @FunctionalInterface
    interface Passing {
        /**
         * Passes changes on.
         *
         * @param collection name of the collection among the hosts
         * @param from position after which the changes are complete
         * @param encoded changes of the same epoch as the source decodes them
         */
        void pass(String collection, StorePosition from, byte[] encoded, long now);
    }

    FeedRunner(
            String collection,
            CollectionSource<T> source,
            ControlLoop control,
            FeedTimes times,
            FeedListener<T> listener,
            Passing passing,
            StoreEpochs epochs,
            RandomGenerator random,
            long now) {
        this.collection = collection;
        this.source = source;
        this.control = control;
        this.passing = passing;
        this.epochs = epochs;
        this.feed = new CollectionFeed<>(times, listener, random, now);
        epochs.onChange(feed::onEpoch);
    }

    String collection() {
        return collection;
    }

    /** Lets time pass; must be called on the control thread. */
    void tick(long now) {
        make(feed.onTick(now));
    }

    /** Returns how far this host has followed the collection; must be called on the control thread. */
    FeedPosition position(long now) {
        return feed.position(now);
    }

    /** Relies on another host if it has a fresh position, otherwise on the store; must be called on the control thread. */
    void rely(FeedPosition position, long now) {
        if (position != null) {
            epochs.heard(position.changed().epoch(), now);
        }
        if (position != null && position.fresh()) {
            feed.follow(position, now);
        } else {
            feed.unfollow(position != null && !position.inContact(), now);
        }
    }

    /** Takes over changes that another host passes on; must be called on the control thread. */
    void passedOn(StorePosition from, byte[] encoded, long now) {
        try {
            feed.onRelayedChanges(from, source.decode(encoded, from.epoch()), now);
        } catch (GooseberryringException e) {
            LogLine.event("passed-changes-unreadable")
                    .with("collection", collection)
                    .with("reason", e.getMessage())
                    .warn(LOG);
        }
    }

    private void make(List<FeedCall> calls) {
        for (FeedCall call : calls) {
            if (call instanceof FeedCall.ListPage list) {
                source.list(list.after()).whenComplete((page, failure) -> paged(list.id(), page));
            } else if (call instanceof FeedCall.Watch watch) {
                source.watch(watch.from(), watch.waitMillis())
                        .whenComplete((answer, failure) -> watched(watch, answer));
            }
        }
    }

    private void paged(long id, FeedPage<T> page) {
        control.put(now -> {
            if (page == null) {
                make(feed.onFailed(id, now));
            } else {
                make(feed.onPage(id, page, now));
                epochs.seen(page.at().epoch(), now);
            }
        });
    }

    /** Takes the answer to a watch, null if there was none. */
    private void watched(FeedCall.Watch watch, Optional<WatchResponse<T>> answer) {
        control.put(now -> {
            if (answer == null) {
                make(feed.onFailed(watch.id(), now));
            } else if (answer.isEmpty()) {
                make(feed.onHistoryGone(watch.id(), now));
            } else {
                FeedChanges<T> changes = answer.get().changes();
                StorePosition from = feed.relayableFrom(watch.id(), changes);
                if (from != null) {
                    passing.pass(collection, from, answer.get().encoded(), now);
                }
                make(feed.onChanges(watch.id(), changes, now));
                epochs.seen(changes.at().epoch(), now);
            }
        });
    }
}
