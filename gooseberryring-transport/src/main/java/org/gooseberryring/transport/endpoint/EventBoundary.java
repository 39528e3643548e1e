package org.gooseberryring.transport.endpoint;

/** Detects the end of each event of a stream, which is an empty line; lines end with LF or CR LF. */
final class EventBoundary {
    private boolean lineEmpty = true;

    /** Processes the next byte of the stream and returns whether it ends an event. */
    boolean endsEvent(byte b) {
        if (b == '\n') {
            boolean isEnd = lineEmpty;
            lineEmpty = true;
            return isEnd;
        }
        if (b != '\r') {
            lineEmpty = false;
        }
        return false;
    }

    /** Resets the state to the start of a stream. */
    void reset() {
        lineEmpty = true;
    }
}
