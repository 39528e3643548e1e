package org.gooseberryring.host.entry;

import java.util.IdentityHashMap;
import java.util.Map;

import org.gooseberryring.coordination.exchange.RecordUpdate;
import org.gooseberryring.protocol.peer.HostUpdate;
import org.gooseberryring.protocol.peer.StateEntry;

/** Encoder of updates that encodes each update once for all links on which it is sent. Not thread-safe. */
final class EncodedUpdates {
    /** Maximum number of cached updates; each is used for a few messages only. */
    private static final int MAX_CACHED = 1_024;

    private final Map<RecordUpdate<StateKey, StateEntry>, HostUpdate> encoded = new IdentityHashMap<>();

    /** Returns the message for an update. */
    HostUpdate encode(RecordUpdate<StateKey, StateEntry> update) {
        if (encoded.size() > MAX_CACHED) {
            encoded.clear();
        }
        return encoded.computeIfAbsent(update, PeerCodec::encode);
    }
}
