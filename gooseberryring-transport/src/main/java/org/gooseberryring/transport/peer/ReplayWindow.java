package org.gooseberryring.transport.peer;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/** Detects frames that were received before; thread-safe. */
final class ReplayWindow {
    /** Number of later frames that may arrive before an older one, as when a connection is replaced. */
    static final int WINDOW_FRAMES = 4096;

    /** Limits memory to about 2 MB; the least recently active sender is evicted first. */
    private static final int MAX_SENDERS = 4096;

    private final Map<String, SenderWindow> senders = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SenderWindow> eldest) {
            return size() > MAX_SENDERS;
        }
    };

    /** Records a frame and returns whether it is new; frames of an earlier incarnation are never new. */
    synchronized boolean accept(String sender, long incarnation, long sequence) {
        SenderWindow window = senders.get(sender);
        if (window == null || Long.compareUnsigned(incarnation, window.incarnation) > 0) {
            window = new SenderWindow(incarnation);
            senders.put(sender, window);
        }
        return incarnation == window.incarnation && window.accept(sequence);
    }

    private static final class SenderWindow {
        private final long incarnation;
        private final BitSet received = new BitSet(WINDOW_FRAMES);
        private long highestSequence;

        private SenderWindow(long incarnation) {
            this.incarnation = incarnation;
        }

        private boolean accept(long sequence) {
            if (sequence <= 0 || sequence <= highestSequence - WINDOW_FRAMES) {
                return false;
            }
            if (sequence > highestSequence) {
                clearUpTo(sequence);
                highestSequence = sequence;
            }
            int bit = (int) (sequence % WINDOW_FRAMES);
            boolean isNew = !received.get(bit);
            received.set(bit);
            return isNew;
        }

        /** Clears the bits of the sequence numbers after the highest received one, up to the given one. */
        private void clearUpTo(long sequence) {
            if (sequence - highestSequence >= WINDOW_FRAMES) {
                received.clear();
                return;
            }
            for (long s = highestSequence + 1; s <= sequence; s++) {
                received.clear((int) (s % WINDOW_FRAMES));
            }
        }
    }
}
