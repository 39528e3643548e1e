package org.gooseberryring.transport.endpoint;

import java.nio.ByteBuffer;

/** Counts the bytes of the current event of a stream that is passed on without buffering. */
final class EventMeter {
    private final EventBoundary boundary = new EventBoundary();
    private long pendingBytes;

    /** Counts the remaining bytes of a buffer, without changing its position. */
    void add(ByteBuffer buffer) {
        for (int i = buffer.position(); i < buffer.limit(); i++) {
            pendingBytes = boundary.endsEvent(buffer.get(i)) ? 0 : pendingBytes + 1;
        }
    }

    /** Returns the number of bytes received of the incomplete event. */
    long pendingBytes() {
        return pendingBytes;
    }
}
