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
 * Runs the feed of a collection on the control thread and makes its calls to the store.
 *
 * @param <T> type of the content
 */
final class FeedRunner<T> {
    private static final Logger LOG = Logger.getLogger(FeedRunner.class);

    /** In place of the time of a call, if the changes were not called for. */
    private static final long NO_CALL = -1;

    private final String collection;
    private final CollectionSource<T> source;
    private final ControlLoop control;
    private final CollectionFeed<T> feed;
    private final ChangeForwarder forwarder;
    private final StoreEpochs epochs;

    /** Forwards changes of a collection to the hosts that use this one as their relay. */
    @FunctionalInterface
    interface ChangeForwarder {
        /**
         * Forwards changes.
         *
         * @param collection name of the collection among the hosts
         * @param from position after which the changes are without a gap
         * @param encoded changes of the same epoch, in the form that the source decodes
         */
        void forward(String collection, StorePosition from, byte[] encoded, long now);
    }

    FeedRunner(
            String collection,
            CollectionSource<T> source,
            ControlLoop control,
            FeedTimes times,
            FeedListener<T> listener,
            ChangeForwarder forwarder,
            StoreEpochs epochs,
            RandomGenerator random,
            long now) {
        this.collection = collection;
        this.source = source;
        this.control = control;
        this.forwarder = forwarder;
        this.epochs = epochs;
        this.feed = new CollectionFeed<>(times, new IsolatingListener<>(collection, listener), random, now);
        epochs.onChange(feed::onEpoch);
    }

    String collection() {
        return collection;
    }

    /** Makes the calls that are due; must be called on the control thread. */
    void tick(long now) {
        execute(feed.onTick(now));
    }

    /** Returns the position up to which this host has followed the collection; must be called on the control thread. */
    FeedPosition position(long now) {
        return feed.position(now);
    }

    /** Returns the time up to which all changes are known; must be called on the control thread. */
    long confirmedAt() {
        return feed.confirmedAt();
    }

    /** Returns whether all changes are known but for the last seconds; must be called on the control thread. */
    boolean isCurrent(long now) {
        return feed.isCurrent(now);
    }

    /**
     * Follows the relay if it has a fresh position, otherwise the store; must be called on the control thread.
     *
     * @param position position of the relay, null if there is none
     */
    void followRelay(FeedPosition position, long now) {
        if (position != null) {
            epochs.observeRemote(position.changed().epoch(), now);
        }
        if (position != null && position.fresh()) {
            feed.follow(position, now);
        } else {
            feed.unfollow(position != null && !position.inContact(), now);
        }
    }

    /** Applies changes that another host has forwarded; must be called on the control thread. */
    void onChangesForwarded(StorePosition from, byte[] encoded, long arrivedAt, long now) {
        try {
            FeedChanges<T> changes = source.decode(encoded, from.epoch());
            boolean complete = feed.onRelayedChanges(from, changes, arrivedAt);
            logRead(
                    complete ? "relay" : "relay-incomplete",
                    changes.at(),
                    changes.changes().size(),
                    NO_CALL,
                    arrivedAt,
                    now);
        } catch (GooseberryringException e) {
            LogLine.event("passed-changes-unreadable")
                    .with("collection", collection)
                    .with("reason", e.getMessage())
                    .warn(LOG);
        }
    }

    /** Logs by which way changes came, how long the call took and how long its response waited for this thread. */
    private void logRead(String way, StorePosition at, int objects, long sentAt, long arrivedAt, long now) {
        if (objects == 0) {
            return;
        }
        LogLine.event("store-read")
                .with("collection", collection)
                .with("way", way)
                .with("at", at)
                .with("objects", objects)
                .with("callMs", sentAt == NO_CALL ? NO_CALL : arrivedAt - sentAt)
                .with("queuedMs", now - arrivedAt)
                .debug(LOG);
    }

    private void logFailure(String way, Throwable failure, long sentAt, long now) {
        LogLine.event("store-read-failed")
                .with("collection", collection)
                .with("way", way)
                .with("callMs", now - sentAt)
                .with("reason", failure == null ? "" : failure.getMessage())
                .info(LOG);
    }

    private void execute(List<FeedCall> calls) {
        for (FeedCall call : calls) {
            if (call instanceof FeedCall.ListPage list) {
                long sentAt = control.now();
                source.list(list.after(), list.newConnection())
                        .whenComplete((page, failure) -> onPageReceived(list.id(), page, failure, sentAt));
            } else if (call instanceof FeedCall.Watch watch) {
                long sentAt = control.now();
                source.watch(watch.from(), watch.waitMillis(), watch.newConnection())
                        .whenComplete((response, failure) -> onWatchResponse(watch, response, failure, sentAt));
            }
        }
    }

    private void onPageReceived(long id, FeedPage<T> page, Throwable failure, long sentAt) {
        long arrivedAt = control.now();
        control.putStoreEvent(now -> {
            if (page == null) {
                logFailure("list", failure, sentAt, now);
                execute(feed.onFailed(id, now));
            } else {
                logRead("list", page.at(), page.items().size(), sentAt, arrivedAt, now);
                execute(feed.onPage(id, page, arrivedAt));
                epochs.observe(page.at().epoch(), now);
            }
        });
    }

    /** Handles the response to a watch, null if the call failed. */
    private void onWatchResponse(
            FeedCall.Watch watch, Optional<WatchResponse<T>> response, Throwable failure, long sentAt) {
        long arrivedAt = control.now();
        control.putStoreEvent(now -> {
            if (response == null) {
                logFailure("watch", failure, sentAt, now);
                execute(feed.onFailed(watch.id(), now));
            } else if (response.isEmpty()) {
                execute(feed.onHistoryGone(watch.id(), arrivedAt));
            } else {
                FeedChanges<T> changes = response.get().changes();
                logRead("watch", changes.at(), changes.changes().size(), sentAt, arrivedAt, now);
                StorePosition from = feed.relayableFrom(watch.id(), changes);
                if (from != null) {
                    forwarder.forward(collection, from, response.get().encoded(), now);
                }
                execute(feed.onChanges(watch.id(), changes, arrivedAt));
                epochs.observe(changes.at().epoch(), now);
            }
        });
    }
}
