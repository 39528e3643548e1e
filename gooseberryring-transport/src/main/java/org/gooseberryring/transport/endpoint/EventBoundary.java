package org.gooseberryring.transport.endpoint;

/** Finds the ends of the events of a stream: an empty line, whether lines end with a line feed or with both characters. */
final class EventBoundary {
    private boolean lineEmpty;

    /** Takes the next byte of the stream; returns whether it ends an event. */
    boolean endsWith(byte b) {
        if (b == '\n') {
            boolean ends = lineEmpty;
            lineEmpty = true;
            return ends;
        }
        if (b != '\r') {
            lineEmpty = false;
        }
        return false;
    }

    /** Begins anew, as at the start of a stream. */
    void restart() {
        lineEmpty = false;
    }
}
