package org.gooseberryring.transport.endpoint;

import java.nio.ByteBuffer;

/** Measures how long the present event of a stream is, to tell a stream from bytes without end that hold no event. */
final class EventMeter {
    /** Longest event in bytes; an event holds the text of some tokens. */
    private static final long MAX_EVENT_BYTES = 1_000_000;

    private long bytes;
    private boolean lineEmpty;

    /** Counts the remaining bytes of a buffer, without changing its position; returns whether an event is too long. */
    boolean exceeds(ByteBuffer buffer) {
        for (int i = buffer.position(); i < buffer.limit(); i++) {
            add(buffer.get(i));
        }
        return bytes > MAX_EVENT_BYTES;
    }

    private void add(byte b) {
        bytes++;
        if (b == '\n') {
            if (lineEmpty) {
                bytes = 0;
            }
            lineEmpty = true;
        } else if (b != '\r') {
            lineEmpty = false;
        }
    }
}
