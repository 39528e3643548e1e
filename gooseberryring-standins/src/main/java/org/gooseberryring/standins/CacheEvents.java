package org.gooseberryring.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Cache events of an engine stand-in, numbered, bounded and possibly with gaps. */
final class CacheEvents {
    private static final int MAX_EVENTS = 1_024;

    private final Faults faults;
    private final Deque<Event> events = new ArrayDeque<>();
    private long lastSequence;

    CacheEvents(Faults faults) {
        this.faults = faults;
    }

    synchronized void stored(String model, String salt, String prefixDigest) {
        lastSequence++;
        if (faults.take(InjectedFault.LOSE_CACHE_EVENTS)) {
            return;
        }
        events.add(new Event(lastSequence, "stored", model, salt, prefixDigest));
        if (events.size() > MAX_EVENTS) {
            events.remove();
        }
    }

    /** Returns the events after a sequence number, oldest first. */
    synchronized Page after(long sequence) {
        List<Event> page =
                events.stream().filter(event -> event.sequence() > sequence).toList();
        return new Page(page, lastSequence);
    }

    /** Event that a prefix is cached now. */
    record Event(long sequence, String type, String model, String salt, String prefix) {}

    /** Events with the highest sequence number that was given out. */
    record Page(List<Event> events, long lastSequence) {}
}
