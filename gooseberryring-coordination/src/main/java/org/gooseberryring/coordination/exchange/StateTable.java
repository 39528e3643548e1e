package org.gooseberryring.coordination.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * State of all hosts, including this one, as it is known on this host.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
final class StateTable<K, V> {
    private final Map<String, HostRecord<K, V>> records = new TreeMap<>();
    private final HostRecord<K, V> own;
    private long changes;

    /** Result of applying an update. */
    enum ApplyResult {
        /** The state has changed. */
        NEW,
        /** The update contains nothing new. */
        KNOWN,
        /** Changes between the known state and the base of the update are missing. */
        GAP
    }

    StateTable(ExchangeMember self, long incarnation, long now) {
        own = HostRecord.createOwn(self, incarnation, now);
        records.put(self.host(), own);
    }

    HostRecord<K, V> own() {
        return own;
    }

    /** Returns the record of a host, or null. */
    HostRecord<K, V> record(String host) {
        return records.get(host);
    }

    Map<String, HostRecord<K, V>> records() {
        return records;
    }

    /** Returns a number that increases with each change. */
    long changes() {
        return changes;
    }

    void publish(Map<K, V> state, List<V> notices, long now) {
        long before = own.version();
        own.publish(state);
        own.addNotices(notices, now);
        if (own.version() != before) {
            changes++;
        }
    }

    ApplyResult apply(RecordUpdate<K, V> update, long now) {
        HostRecord<K, V> known = records.get(update.host());
        boolean newer = known == null || Long.compareUnsigned(update.incarnation(), known.incarnation()) > 0;
        if (known == own || !newer && update.incarnation() != known.incarnation()) {
            return ApplyResult.KNOWN;
        }
        if (newer) {
            if (!update.isComplete()) {
                return ApplyResult.GAP;
            }
            known = new HostRecord<>(update.host(), update.incarnation(), update.failureDomain(), now);
            records.put(update.host(), known);
        } else if (update.version() <= known.version()) {
            return ApplyResult.KNOWN;
        } else if (update.base() > known.version()) {
            return ApplyResult.GAP;
        }
        known.apply(update, now);
        changes++;
        return ApplyResult.NEW;
    }

    /** Removes the records of hosts that were last seen longer ago than the given time and returns these hosts. */
    List<String> removeOlderThan(long millis, long now) {
        List<String> expired = new ArrayList<>();
        records.forEach((host, each) -> {
            if (each != own && each.ageMillis(now) > millis) {
                expired.add(host);
            }
        });
        expired.forEach(records::remove);
        return expired;
    }

    /** Removes notices that all links have carried. */
    void removeExpiredNotices(long now) {
        records.values().forEach(each -> each.removeExpiredNotices(now));
    }
}
