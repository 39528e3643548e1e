package org.gooseberryring.coordination.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * State of all hosts as this host knows it, its own included.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
final class StateTable<K, V> {
    private final Map<String, HostRecord<K, V>> records = new TreeMap<>();
    private final HostRecord<K, V> own;
    private long changes;

    /** What became of an update. */
    enum Applied {
        /** The state has changed. */
        NEW,
        /** The update holds nothing that is not known. */
        KNOWN,
        /** Changes between the known state and the base of the update are missing. */
        GAP
    }

    StateTable(ExchangeMember self, long incarnation, long now) {
        own = HostRecord.own(self, incarnation, now);
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

    /** Returns a number that rises with every change. */
    long changes() {
        return changes;
    }

    void publish(Map<K, V> state, List<V> notices, long now) {
        long before = own.version();
        own.publish(state);
        own.notify(notices, now);
        if (own.version() != before) {
            changes++;
        }
    }

    Applied apply(RecordUpdate<K, V> update, long now) {
        HostRecord<K, V> known = records.get(update.host());
        boolean newer = known == null || Long.compareUnsigned(update.incarnation(), known.incarnation()) > 0;
        if (known == own || !newer && update.incarnation() != known.incarnation()) {
            return Applied.KNOWN;
        }
        if (newer) {
            if (!update.isComplete()) {
                return Applied.GAP;
            }
            known = new HostRecord<>(update.host(), update.incarnation(), update.failureDomain(), now);
            records.put(update.host(), known);
        } else if (update.version() <= known.version()) {
            return Applied.KNOWN;
        } else if (update.base() > known.version()) {
            return Applied.GAP;
        }
        known.apply(update, now);
        changes++;
        return Applied.NEW;
    }

    /** Drops the records that are older than the given age and returns their hosts. */
    List<String> dropOlderThan(long millis, long now) {
        List<String> dropped = new ArrayList<>();
        records.forEach((host, each) -> {
            if (each != own && each.ageMillis(now) > millis) {
                dropped.add(host);
            }
        });
        dropped.forEach(records::remove);
        return dropped;
    }

    /** Drops notices that all links have carried by now. */
    void expire(long now) {
        records.values().forEach(each -> each.expire(now));
    }
}
