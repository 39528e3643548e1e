package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Changes of other hosts that wait for the request thread.
 *
 * <p>They are taken over together, so that a host whose request thread lags behind handles the newest state and no queue
 * of old ones. Safe for use by several threads.
 */
final class HostChangeQueue {
    private final List<HostChanges> changes = new ArrayList<>();
    private final List<String> gone = new ArrayList<>();
    private Map<String, Long> ages = Map.of();
    private boolean waiting;

    /**
     * What has changed since the last batch.
     *
     * @param changes changes of other hosts, in their order
     * @param gone hosts that gave no sign of life for a long time
     * @param ages milliseconds since the last sign of life of each other host, empty if they were taken before
     */
    record Batch(List<HostChanges> changes, List<String> gone, Map<String, Long> ages) {}

    synchronized void changed(HostChanges news) {
        changes.add(news);
    }

    synchronized void gone(String host) {
        gone.add(host);
    }

    synchronized void ages(Map<String, Long> newAges) {
        ages = newAges;
    }

    /** Returns whether the request thread must be told that there is news, and notes that it is. */
    synchronized boolean mustTell() {
        boolean tell = !waiting;
        waiting = true;
        return tell;
    }

    /** Notes that the request thread could not be told. */
    synchronized void notTold() {
        waiting = false;
    }

    /** Returns all news, and forgets them. */
    synchronized Batch take() {
        Batch batch = new Batch(List.copyOf(changes), List.copyOf(gone), ages);
        changes.clear();
        gone.clear();
        ages = Map.of();
        waiting = false;
        return batch;
    }
}
