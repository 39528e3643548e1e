package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Newest epoch of the platform's store that this host has seen in a response of the store or in the position of its relay.
 *
 * <p>A later epoch means that the store was restored from an older copy, so that everything that was read from it must be
 * read again. Must be used on the control thread unless stated otherwise.
 */
final class StoreEpochs {
    private static final Logger LOG = Logger.getLogger(StoreEpochs.class);

    /** Minimum interval between two log lines on responses of an earlier epoch. */
    private static final long LOG_MILLIS = 5_000;

    private final List<Listener> listeners = new ArrayList<>();
    private volatile long newest = StorePosition.NO_EPOCH;
    private long loggedAt = Long.MIN_VALUE / 2;

    /** Listener for a later epoch of the store. */
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

    /** Returns the reply, or an UNAVAILABLE reply in its place if it is from an epoch before the newest one. */
    StoreReply rejectOutdated(StoreReply reply) {
        boolean outdated = reply.hasObjectState() && reply.epoch() < newest;
        return outdated ? new StoreReply(reply.key(), StoreOutcome.UNAVAILABLE, 0, null) : reply;
    }

    /** Records the epoch of a reply, if the store responded. */
    void observe(StoreReply reply, long now) {
        if (reply.hasObjectState()) {
            observe(reply.epoch(), now);
        }
    }

    /** Records the epoch of a response of the store. */
    void observe(long epoch, long now) {
        if (epoch < newest && now - loggedAt >= LOG_MILLIS) {
            loggedAt = now;
            LogLine.event("store-answer-outdated")
                    .with("epoch", epoch)
                    .with("newest", newest)
                    .warn(LOG);
        }
        observeRemote(epoch, now);
    }

    /** Records the epoch that another host has seen, which may be earlier than the newest one. */
    void observeRemote(long epoch, long now) {
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
