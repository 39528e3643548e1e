package org.gooseberryring.transport.peer;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/** Recognises frames that were received before; safe for use by several threads. */
final class ReplayWindow {
    /** Frames by which an older one may be overtaken, as when a connection is replaced. */
    static final int WINDOW = 4096;

    /** Bounds memory to about 2 MB; the sender that was heard longest ago is forgotten first. */
    private static final int MAX_SENDERS = 4096;

    private final Map<String, Seen> senders = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Seen> eldest) {
            return size() > MAX_SENDERS;
        }
    };

    /** Returns whether a frame is new, and remembers it; frames of an earlier incarnation are never new. */
    synchronized boolean accept(String sender, long incarnation, long sequence) {
        Seen seen = senders.get(sender);
        if (seen == null || Long.compareUnsigned(incarnation, seen.incarnation) > 0) {
            seen = new Seen(incarnation);
            senders.put(sender, seen);
        }
        return incarnation == seen.incarnation && seen.accept(sequence);
    }

    private static final class Seen {
        private final long incarnation;
        private final BitSet recent = new BitSet(WINDOW);
        private long highest;

        private Seen(long incarnation) {
            this.incarnation = incarnation;
        }

        private boolean accept(long sequence) {
            if (sequence <= 0 || sequence <= highest - WINDOW) {
                return false;
            }
            if (sequence > highest) {
                forget(sequence);
                highest = sequence;
            }
            int bit = (int) (sequence % WINDOW);
            boolean isNew = !recent.get(bit);
            recent.set(bit);
            return isNew;
        }

        /** Clears the bits of the sequence numbers between the highest so far and the given one. */
        private void forget(long sequence) {
            if (sequence - highest >= WINDOW) {
                recent.clear();
                return;
            }
            for (long s = highest + 1; s <= sequence; s++) {
                recent.clear((int) (s % WINDOW));
            }
        }
    }
}
