package org.gooseberryring.transport.endpoint;

import java.nio.ByteBuffer;

/** Counts the bytes of the present event of a stream that is passed on as it comes. */
final class EventMeter {
    private final EventBoundary boundary = new EventBoundary();
    private long pendingBytes;

    /** Counts the remaining bytes of a buffer, without changing its position. */
    void add(ByteBuffer buffer) {
        for (int i = buffer.position(); i < buffer.limit(); i++) {
            pendingBytes = boundary.endsWith(buffer.get(i)) ? 0 : pendingBytes + 1;
        }
    }

    /** Returns the bytes of the event that has begun and not ended. */
    long pendingBytes() {
        return pendingBytes;
    }
}
