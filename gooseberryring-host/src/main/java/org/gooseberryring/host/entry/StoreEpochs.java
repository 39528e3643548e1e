package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Newest epoch of the platform's store that an answer has shown to this host, or to the host that it relies on.
 *
 * <p>A later epoch means that the store came back from an older copy, so that all who hold something of it must read it
 * anew. Belongs to the control thread.
 */
final class StoreEpochs {
    private static final Logger LOG = Logger.getLogger(StoreEpochs.class);

    /** Least time between two log lines on answers of an earlier epoch. */
    private static final long LOG_MILLIS = 5_000;

    private final List<Listener> listeners = new ArrayList<>();
    private volatile long newest = StorePosition.NO_EPOCH;
    private long loggedAt = Long.MIN_VALUE / 2;

    /** Hears of a later epoch of the store. */
    @FunctionalInterface
    interface Listener {
        void onEpoch(long epoch, long now);
    }

    void onChange(Listener listener) {
        listeners.add(listener);
    }

    /** Returns the newest epoch; may be called on any thread. */
    long newest() {
        return newest;
    }

    /** Returns a reply, or that the store is unavailable if it was given before the store came back from an older copy. */
    StoreReply current(StoreReply reply) {
        boolean outdated = reply.hasObjectState() && reply.epoch() < newest;
        return outdated ? new StoreReply(reply.key(), StoreOutcome.UNAVAILABLE, 0, null) : reply;
    }

    /** Takes over the epoch of a reply, if the store answered. */
    void seen(StoreReply reply, long now) {
        if (reply.hasObjectState()) {
            seen(reply.epoch(), now);
        }
    }

    /** Takes over the epoch that an answer of the store states. */
    void seen(long epoch, long now) {
        if (epoch < newest && now - loggedAt >= LOG_MILLIS) {
            loggedAt = now;
            LogLine.event("store-answer-outdated")
                    .with("epoch", epoch)
                    .with("newest", newest)
                    .warn(LOG);
        }
        heard(epoch, now);
    }

    /** Takes over the epoch that another host has seen, which may be an earlier one. */
    void heard(long epoch, long now) {
        if (epoch <= newest) {
            return;
        }
        if (newest != StorePosition.NO_EPOCH) {
            LogLine.event("store-restored")
                    .with("epoch", epoch)
                    .with("before", newest)
                    .warn(LOG);
        }
        newest = epoch;
        listeners.forEach(listener -> listener.onEpoch(epoch, now));
    }
}
