package org.gooseberryring.standins;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** Objects with versions and conditional updates, as the platform keeps them. */
final class InMemoryObjectStore {
    private final SortedMap<String, Entry> entries = new TreeMap<>();
    private long lastVersion;

    /** Returns the object, or null if there is none. */
    synchronized Entry get(String key) {
        return entries.get(key);
    }

    /** Returns the object before its last write, or the present one if it has no earlier value. */
    synchronized Entry getStale(String key) {
        Entry entry = entries.get(key);
        return entry == null || entry.previous() == null ? entry : entry.previous();
    }

    /**
     * Writes an object if its version is the expected one.
     *
     * @param expected expected version, or 0 if the object must not exist
     */
    synchronized Result put(String key, long expected, byte[] bytes) {
        Entry current = entries.get(key);
        if (version(current) != expected) {
            return new Result(false, version(current));
        }
        Entry previous = current == null ? null : new Entry(current.version(), current.bytes(), null);
        entries.put(key, new Entry(++lastVersion, bytes, previous));
        return new Result(true, lastVersion);
    }

    /** Removes an object if its version is the expected one. */
    synchronized Result remove(String key, long expected) {
        Entry current = entries.get(key);
        if (current == null || current.version() != expected) {
            return new Result(false, version(current));
        }
        entries.remove(key);
        return new Result(true, expected);
    }

    synchronized List<String> keys(String prefix) {
        return entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private static long version(Entry entry) {
        return entry == null ? 0 : entry.version();
    }

    /** Object with its version and the value before it. */
    record Entry(long version, byte[] bytes, Entry previous) {}

    /** Result of a conditional update: whether it applied, and the version now, 0 for none. */
    record Result(boolean applied, long version) {}
}
