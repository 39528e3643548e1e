package org.gooseberryring.coordination.exchange;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * State of one host as it is known on this host.
 *
 * <p>Each entry has the version of its last change, so that the missing changes of another host follow from the version
 * that it has. Removed entries are kept without a value for the same reason.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
final class HostRecord<K, V> {
    /** Time for which a notice is relayed; each link carries several messages in this time. */
    private static final long NOTICE_MILLIS = 2_000;

    private final String host;
    private final long incarnation;
    private final String failureDomain;
    private final Map<K, Entry<V>> entries = new HashMap<>();
    private final Deque<Notice<V>> notices = new ArrayDeque<>();
    private final Map<Long, RecordUpdate<K, V>> updates = new HashMap<>();
    private long version;
    private long lastSeenAt;

    private record Entry<V>(V value, long version) {}

    private record Notice<V>(V value, long version, long at) {}

    HostRecord(String host, long incarnation, String failureDomain, long now) {
        this.host = host;
        this.incarnation = incarnation;
        this.failureDomain = failureDomain;
        this.lastSeenAt = now;
    }

    /** Creates the record of this host, which is sent to other hosts even if it has no entries. */
    static <K, V> HostRecord<K, V> createOwn(ExchangeMember self, long incarnation, long now) {
        HostRecord<K, V> ownRecord = new HostRecord<>(self.host(), incarnation, self.failureDomain(), now);
        ownRecord.version = 1;
        return ownRecord;
    }

    long incarnation() {
        return incarnation;
    }

    String failureDomain() {
        return failureDomain;
    }

    long version() {
        return version;
    }

    long ageMillis(long now) {
        return Math.max(0, now - lastSeenAt);
    }

    void setLastSeenAt(long at) {
        lastSeenAt = at;
    }

    /** Returns the entry with a key, null if there is none. */
    V value(K key) {
        Entry<V> entry = entries.get(key);
        return entry == null ? null : entry.value();
    }

    /** Returns the entries that have a value. */
    Map<K, V> values() {
        Map<K, V> values = new HashMap<>();
        entries.forEach((key, entry) -> {
            if (entry.value() != null) {
                values.put(key, entry.value());
            }
        });
        return values;
    }

    /** Replaces the entries by the given ones. */
    void publish(Map<K, V> state) {
        long next = version + 1;
        boolean changed = false;
        for (Map.Entry<K, V> each : state.entrySet()) {
            Entry<V> old = entries.get(each.getKey());
            if (old == null || !each.getValue().equals(old.value())) {
                entries.put(each.getKey(), new Entry<>(each.getValue(), next));
                changed = true;
            }
        }
        for (Map.Entry<K, Entry<V>> each : entries.entrySet()) {
            if (each.getValue().value() != null && !state.containsKey(each.getKey())) {
                each.setValue(new Entry<>(null, next));
                changed = true;
            }
        }
        if (changed) {
            version = next;
            updates.clear();
        }
    }

    /** Adds values that are sent to each host once and not kept. */
    void addNotices(List<V> values, long now) {
        if (!values.isEmpty()) {
            updates.clear();
            version++;
            values.forEach(value -> notices.add(new Notice<>(value, version, now)));
        }
    }

    /** Removes notices that are older than the time in which all links have carried them. */
    void removeExpiredNotices(long now) {
        while (!notices.isEmpty() && now - notices.peek().at() > NOTICE_MILLIS) {
            notices.poll();
            updates.clear();
        }
    }

    /** Applies an update whose base is known; the update must be newer. */
    void apply(RecordUpdate<K, V> update, long now) {
        if (update.isComplete()) {
            Set<K> kept = new HashSet<>(update.entries().keySet());
            entries.replaceAll((key, entry) ->
                    entry.value() == null || kept.contains(key) ? entry : new Entry<>(null, update.version()));
        }
        update.entries().forEach((key, value) -> entries.put(key, new Entry<>(value, update.version())));
        update.removed().forEach(key -> entries.put(key, new Entry<>(null, update.version())));
        update.notices().forEach(value -> notices.add(new Notice<>(value, update.version(), now)));
        version = update.version();
        updates.clear();
    }

    /** Returns the changes since a version, or the complete state for 0; cached until the state changes. */
    RecordUpdate<K, V> updateSince(long base) {
        return updates.computeIfAbsent(base, this::createUpdate);
    }

    private RecordUpdate<K, V> createUpdate(long base) {
        Map<K, V> changed = new HashMap<>();
        Set<K> removed = new HashSet<>();
        entries.forEach((key, entry) -> {
            if (entry.version() > base && entry.value() != null) {
                changed.put(key, entry.value());
            } else if (entry.version() > base && base > 0) {
                removed.add(key);
            }
        });
        List<V> newNotices = new ArrayList<>();
        for (Notice<V> notice : notices) {
            if (notice.version() > base) {
                newNotices.add(notice.value());
            }
        }
        return new RecordUpdate<>(host, incarnation, failureDomain, base, version, changed, removed, newNotices);
    }
}
