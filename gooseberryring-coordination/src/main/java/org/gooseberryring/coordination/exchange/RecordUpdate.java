package org.gooseberryring.coordination.exchange;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Changes of the state of one host.
 *
 * @param host host whose state it is
 * @param incarnation number of its process, higher than that of any earlier one
 * @param failureDomain failure domain of the host
 * @param base version that the changes start from, 0 if the update contains the complete state
 * @param version version that they lead to
 * @param entries new and changed entries
 * @param removed keys of removed entries
 * @param notices values that are sent to each host once and not kept
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public record RecordUpdate<K, V>(
        String host,
        long incarnation,
        String failureDomain,
        long base,
        long version,
        Map<K, V> entries,
        Set<K> removed,
        List<V> notices) {
    public RecordUpdate {
        entries = Map.copyOf(entries);
        removed = Set.copyOf(removed);
        notices = List.copyOf(notices);
    }

    /** Returns whether the update replaces the complete known state of the host. */
    public boolean isComplete() {
        return base == 0;
    }
}
