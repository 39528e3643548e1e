package org.gooseberryring.transport.endpoint;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Detects the final event of a completion stream, an event of one line, and bytes after it. */
final class FinalEvent {
    private static final byte[] LINE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final int OTHER_EVENT = -1;

    private final EventBoundary boundary = new EventBoundary();
    private int matchedBytes;
    private boolean ended;
    private boolean followed;

    /** Processes the remaining bytes of a buffer without changing its position. */
    void add(ByteBuffer buffer) {
        for (int i = buffer.position(); i < buffer.limit(); i++) {
            add(buffer.get(i));
        }
    }

    /** Returns whether the stream ends with its final event; the empty line after it may lack. */
    boolean isLast() {
        return !followed && (ended || matchedBytes == LINE.length);
    }

    /** Returns whether the stream goes on after its final event. */
    boolean isFollowed() {
        return followed;
    }

    private void add(byte b) {
        boolean endsLine = b == '\n' || b == '\r';
        if (ended) {
            followed |= !endsLine;
            return;
        }
        if (boundary.endsEvent(b)) {
            ended = matchedBytes == LINE.length;
            matchedBytes = 0;
            return;
        }
        matchedBytes = endsLine ? matchedAtEndOfLine() : matchedWith(b);
    }

    /** Returns the number of bytes that match after the end of a line; only a whole line or none is the final event. */
    private int matchedAtEndOfLine() {
        return matchedBytes == LINE.length || matchedBytes == 0 ? matchedBytes : OTHER_EVENT;
    }

    private int matchedWith(byte b) {
        boolean matches = matchedBytes >= 0 && matchedBytes < LINE.length && LINE[matchedBytes] == b;
        return matches ? matchedBytes + 1 : OTHER_EVENT;
    }
}
