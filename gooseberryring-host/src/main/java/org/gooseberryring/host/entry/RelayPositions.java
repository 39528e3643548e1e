package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.Map;

import org.gooseberryring.coordination.exchange.RecordUpdate;
import org.gooseberryring.coordination.feed.FeedPosition;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.protocol.peer.CollectionPosition;
import org.gooseberryring.protocol.peer.StateEntry;

/**
 * Positions in the collections of the store that other hosts have reported, with the times at which they arrived.
 *
 * <p>Not thread-safe; used on the control thread only.
 */
final class RelayPositions {
    /** Age of a position whose sender does not state it, as versions before this one do not. */
    private static final long UNSTATED_AGE_MILLIS = 1_000;

    private final Map<String, Map<StateKey, Long>> arrivals = new HashMap<>();

    /** Records the arrival of the positions in an update. */
    void onUpdate(RecordUpdate<StateKey, StateEntry> update, long arrivedAt) {
        for (StateKey key : update.entries().keySet()) {
            if (key.kind() == StateEntry.ValueCase.POSITION) {
                arrivals.computeIfAbsent(update.host(), host -> new HashMap<>()).put(key, arrivedAt);
            }
        }
    }

    /** Handles that a host is no longer registered. */
    void onHostRemoved(String host) {
        arrivals.remove(host);
    }

    /** Returns the position that a host has reported in an entry. */
    FeedPosition position(String host, StateEntry entry, long now) {
        CollectionPosition stated = entry.getPosition();
        StorePosition changed = new StorePosition(stated.getEpoch(), stated.getChangedRevision());
        long confirmedAt = now - UNSTATED_AGE_MILLIS;
        if (stated.hasConfirmedAgeMillis()) {
            long arrivedAt = arrivals.getOrDefault(host, Map.of()).getOrDefault(StateKey.of(entry), now);
            confirmedAt = arrivedAt - stated.getConfirmedAgeMillis();
        }
        return new FeedPosition(changed, stated.getFresh(), stated.getInContact(), confirmedAt);
    }
}
