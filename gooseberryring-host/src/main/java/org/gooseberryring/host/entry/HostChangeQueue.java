package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Queue of changes of other hosts for the request thread.
 *
 * <p>All queued changes are applied together, so that a request thread that lags behind handles one batch instead of a
 * backlog of old states. Thread-safe.
 */
final class HostChangeQueue {
    private final List<HostChanges> changes = new ArrayList<>();
    private final List<String> gone = new ArrayList<>();
    private Map<String, Long> ages = Map.of();
    private boolean scheduled;

    /**
     * Changes since the last batch.
     *
     * @param changes changes of other hosts, in the order of arrival
     * @param gone hosts that have given no sign of life for a long time
     * @param ages milliseconds since the last sign of life of each other host, empty if they have not changed since
     */
    record Batch(List<HostChanges> changes, List<String> gone, Map<String, Long> ages) {}

    synchronized void add(HostChanges change) {
        changes.add(change);
    }

    synchronized void addGone(String host) {
        gone.add(host);
    }

    synchronized void setAges(Map<String, Long> newAges) {
        ages = newAges;
    }

    /** Marks a batch as scheduled; returns false if one is scheduled already. */
    synchronized boolean markScheduled() {
        boolean schedule = !scheduled;
        scheduled = true;
        return schedule;
    }

    /** Records that the batch could not be scheduled on the request thread. */
    synchronized void clearScheduled() {
        scheduled = false;
    }

    /** Removes and returns all queued changes. */
    synchronized Batch take() {
        Batch batch = new Batch(List.copyOf(changes), List.copyOf(gone), ages);
        changes.clear();
        gone.clear();
        ages = Map.of();
        scheduled = false;
        return batch;
    }
}
