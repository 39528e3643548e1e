package org.gooseberryring.transport.endpoint;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory for incomplete events over all responses of a client; may be used on any thread.
 *
 * <p>Each response may hold an event of the largest size, but not all of them at once: endpoints that send events without
 * end would exhaust the memory, and requests of other endpoints would end with the process. Events of ordinary size do not
 * count, so that they are not affected by large ones.
 */
final class EventMemory {
    /** Size in bytes up to which an event does not count; an event contains the text of a few tokens. */
    static final long UNCOUNTED_BYTES = 4_096;

    private final long maxBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    /** Creates memory of which the given number of bytes may be held at once. */
    EventMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Changes the size of an event that is held; returns false, without a change, if there is not enough memory.
     *
     * @param oldBytes size in bytes at the last change, 0 if there was none
     * @param newBytes size in bytes, 0 if the event is no longer held
     */
    boolean resize(long oldBytes, long newBytes) {
        long difference = counted(newBytes) - counted(oldBytes);
        long held = heldBytes.addAndGet(difference);
        if (difference > 0 && held > maxBytes) {
            heldBytes.addAndGet(-difference);
            return false;
        }
        return true;
    }

    private static long counted(long bytes) {
        return Math.max(0, bytes - UNCOUNTED_BYTES);
    }
}
