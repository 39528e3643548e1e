package org.gooseberryring.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Most recent cache events of an engine stand-in. Events are numbered; lost events leave gaps in the numbers. */
final class CacheEvents {
    private static final int MAX_EVENTS = 1_024;

    private final Faults faults;
    private final Deque<Event> events = new ArrayDeque<>();
    private long lastSequence;

    CacheEvents(Faults faults) {
        this.faults = faults;
    }

    synchronized void addStored(String model, String salt, String prefixDigest) {
        lastSequence++;
        if (faults.consume(InjectedFault.LOSE_CACHE_EVENTS)) {
            return;
        }
        events.add(new Event(lastSequence, "stored", model, salt, prefixDigest));
        if (events.size() > MAX_EVENTS) {
            events.remove();
        }
    }

    /** Returns the events with a higher sequence number than the given one, oldest first. */
    synchronized Page eventsAfter(long sequence) {
        List<Event> page =
                events.stream().filter(event -> event.sequence() > sequence).toList();
        return new Page(page, lastSequence);
    }

    /** Event that reports a newly cached prefix. */
    record Event(long sequence, String type, String model, String salt, String prefix) {}

    /** Events, together with the highest sequence number assigned so far, which includes lost events. */
    record Page(List<Event> events, long lastSequence) {}
}
