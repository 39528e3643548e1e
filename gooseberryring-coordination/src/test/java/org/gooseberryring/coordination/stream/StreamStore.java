package org.gooseberryring.coordination.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.gooseberryring.coordination.feed.FeedItem;
import org.gooseberryring.coordination.feed.FeedPage;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/** Store of a {@link StreamWorld}. */
final class StreamStore {
    private static final long MILLIS = 8;
    private static final long SLOW_MILLIS = 700;

    private final Map<String, StoredObject> objects = new TreeMap<>();
    private boolean down;
    private boolean slow;
    private long faultAt = Long.MIN_VALUE / 2;
    private long revision;

    private record StoredObject(long revision, StreamTable table) {}

    void setDown(boolean isDown, long now) {
        down = isDown;
        faultAt = now;
    }

    void setSlow(boolean isSlow, long now) {
        slow = isSlow;
        faultAt = now;
    }

    boolean isDown() {
        return down;
    }

    /** Returns whether the store has been without a fault for a time. */
    boolean isSound(long millis, long now) {
        return !down && !slow && now - faultAt > millis;
    }

    /** Returns the duration of a call. */
    long millis() {
        return slow ? SLOW_MILLIS : MILLIS;
    }

    FeedPage<StreamTable> page() {
        List<FeedItem<StreamTable>> items = new ArrayList<>();
        objects.forEach((name, object) -> items.add(new FeedItem<>(name, object.revision(), object.table())));
        return new FeedPage<>(items, false, new StorePosition(1, revision));
    }

    StoreReply write(String name, StoreRequest.Put put, StreamTable table) {
        StoredObject known = objects.get(name);
        long version = known == null ? StoreRequest.Put.ABSENT : known.revision();
        if (version != put.expectedVersion()) {
            return new StoreReply(put.key(), StoreOutcome.CONFLICT, version, null);
        }
        objects.put(name, new StoredObject(++revision, table));
        return new StoreReply(put.key(), StoreOutcome.OK, revision, null);
    }
}
