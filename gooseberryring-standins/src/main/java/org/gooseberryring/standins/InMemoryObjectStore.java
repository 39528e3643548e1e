package org.gooseberryring.standins;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** Object store with versions and conditional updates that behaves like the store of the platform. */
final class InMemoryObjectStore {
    private final SortedMap<String, Entry> entries = new TreeMap<>();
    private long lastVersion;

    /** Returns an object, or null if it does not exist. */
    synchronized Entry get(String key) {
        return entries.get(key);
    }

    /** Returns an object as it was before its last write, or the current one if it has no earlier value. */
    synchronized Entry getStale(String key) {
        Entry entry = entries.get(key);
        return entry == null || entry.previous() == null ? entry : entry.previous();
    }

    /**
     * Writes an object if its current version is the expected one.
     *
     * @param expectedVersion expected version, or 0 if the object must not exist
     */
    synchronized Result put(String key, long expectedVersion, byte[] bytes) {
        Entry current = entries.get(key);
        if (version(current) != expectedVersion) {
            return new Result(false, version(current));
        }
        Entry previous = current == null ? null : new Entry(current.version(), current.bytes(), null);
        entries.put(key, new Entry(++lastVersion, bytes, previous));
        return new Result(true, lastVersion);
    }

    /** Removes an object if its current version is the expected one. */
    synchronized Result remove(String key, long expectedVersion) {
        Entry current = entries.get(key);
        if (current == null || current.version() != expectedVersion) {
            return new Result(false, version(current));
        }
        entries.remove(key);
        return new Result(true, expectedVersion);
    }

    synchronized List<String> keys(String prefix) {
        return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private static long version(Entry entry) {
        return entry == null ? 0 : entry.version();
    }

    /** Object with its version and its previous value, or null if there is none. */
    record Entry(long version, byte[] bytes, Entry previous) {}

    /** Result of a conditional update: whether it was applied, and the version, or 0 if the object does not exist. */
    record Result(boolean applied, long version) {}
}
