package org.gooseberryring.transport.http;

import java.util.HashMap;
import java.util.Map;

/**
 * Bytes that may be buffered at once for several owners together, and for each of them; may be used on any thread.
 *
 * <p>The limit of one owner is below that of all, so that one owner cannot take all of the room from the others.
 */
public final class SharedRoom {
    private final long maxBytes;
    private final long maxOwnerBytes;
    private final Map<String, Long> heldByOwner = new HashMap<>();
    private long heldBytes;

    /** Creates room for the given number of bytes, and for each owner. */
    public SharedRoom(long maxBytes, long maxOwnerBytes) {
        this.maxBytes = maxBytes;
        this.maxOwnerBytes = maxOwnerBytes;
    }

    /**
     * Changes the size of a buffer of an owner; returns false, without a change, if there is not enough room.
     *
     * @param oldBytes size in bytes at the last change, 0 if there was none
     * @param newBytes size in bytes, 0 if the buffer is no longer held
     */
    public synchronized boolean resize(String owner, long oldBytes, long newBytes) {
        long difference = newBytes - oldBytes;
        long ofOwner = heldByOwner.getOrDefault(owner, 0L) + difference;
        if (difference > 0 && (heldBytes + difference > maxBytes || ofOwner > maxOwnerBytes)) {
            return false;
        }
        heldBytes += difference;
        if (ofOwner == 0) {
            heldByOwner.remove(owner);
        } else {
            heldByOwner.put(owner, ofOwner);
        }
        return true;
    }

    /** Returns the number of bytes that are held for all owners. */
    public synchronized long heldBytes() {
        return heldBytes;
    }
}
