package org.gooseberryring.coordination.queue;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Requests of one organisation in one priority class, in order of arrival for each target.
 *
 * @param <T> type of the requests
 */
final class OrganisationQueue<T> {
    private record Entry<T>(QueueItem<T> item, long sequence) {}

    private final String organisation;
    private final Map<Object, LinkedHashMap<String, Entry<T>>> byTarget = new LinkedHashMap<>();
    private long deficit;
    private long tokens;
    private int size;

    OrganisationQueue(String organisation) {
        this.organisation = organisation;
    }

    String organisation() {
        return organisation;
    }

    long deficit() {
        return deficit;
    }

    void addDeficit(long amount) {
        deficit += amount;
    }

    long tokens() {
        return tokens;
    }

    int size() {
        return size;
    }

    void add(QueueItem<T> item, long sequence) {
        byTarget.computeIfAbsent(item.target(), key -> new LinkedHashMap<>())
                .put(item.id(), new Entry<>(item, sequence));
        tokens += item.costTokens();
        size++;
    }

    /** Returns the oldest request whose target can take it now, or null. */
    QueueItem<T> first(Predicate<T> canTake) {
        Entry<T> candidate = null;
        for (LinkedHashMap<String, Entry<T>> entries : byTarget.values()) {
            Entry<T> head = entries.values().iterator().next();
            boolean earlier = candidate == null || head.sequence() < candidate.sequence();
            if (earlier && canTake.test(head.item().value())) {
                candidate = head;
            }
        }
        return candidate == null ? null : candidate.item();
    }

    /** Returns the newest request, or null. */
    QueueItem<T> last() {
        Entry<T> candidate = null;
        for (LinkedHashMap<String, Entry<T>> entries : byTarget.values()) {
            Entry<T> tail = null;
            for (Iterator<Entry<T>> i = entries.values().iterator(); i.hasNext(); ) {
                tail = i.next();
            }
            if (candidate == null || tail.sequence() > candidate.sequence()) {
                candidate = tail;
            }
        }
        return candidate == null ? null : candidate.item();
    }

    void remove(QueueItem<T> item) {
        LinkedHashMap<String, Entry<T>> entries = byTarget.get(item.target());
        entries.remove(item.id());
        if (entries.isEmpty()) {
            byTarget.remove(item.target());
        }
        tokens -= item.costTokens();
        size--;
    }
}
