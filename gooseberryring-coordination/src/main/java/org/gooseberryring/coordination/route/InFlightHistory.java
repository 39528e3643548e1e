package org.gooseberryring.coordination.route;

import java.util.Arrays;

/** History of the requests of this host in flight at an endpoint, used to correct load reports that lag behind. */
final class InFlightHistory {
    private static final int SLOTS = 64;

    /** 64 slots of 64 ms cover 4 s; a report older than that is corrected by the oldest slot. */
    private static final int SLOT_SHIFT = 6;

    private final short[] counts = new short[SLOTS];
    private long newestSlot = -1;

    /** Records the current number of requests in flight. */
    void record(int inFlight, long now) {
        long slot = now >> SLOT_SHIFT;
        short count = (short) Math.min(inFlight, Short.MAX_VALUE);
        if (newestSlot < 0 || slot - newestSlot >= SLOTS) {
            Arrays.fill(counts, newestSlot < 0 ? 0 : counts[index(newestSlot)]);
            newestSlot = slot;
        }
        while (newestSlot < slot) {
            counts[index(newestSlot + 1)] = counts[index(newestSlot)];
            newestSlot++;
        }
        counts[index(slot)] = count;
    }

    /** Returns the number of requests in flight at a past time. */
    int at(long time) {
        if (newestSlot < 0) {
            return 0;
        }
        long slot = Math.min(newestSlot, Math.max(newestSlot - SLOTS + 1, time >> SLOT_SHIFT));
        return counts[index(slot)];
    }

    private static int index(long slot) {
        return (int) (slot & SLOTS - 1);
    }
}
