package org.gooseberryring.transport.endpoint;

/** Figures of the events in one attempt, for logs and for the numbering of the service. Not thread-safe. */
public final class EventTrace {
    private static final long NONE = -1;

    private long startId = NONE;
    private long firstId = NONE;
    private long lastId = NONE;
    private int passedOn;
    private int skipped;
    private int steps;
    private int jumps;
    private int emptyBlocks;
    private EventFault fault;

    /** Records an event that was passed on; {@code before} is the id of the caller's last event, -1 if there is none. */
    void onPassedOn(long id, long before) {
        if (passedOn == 0) {
            firstId = id;
        }
        lastId = id;
        passedOn++;
        count(id, before);
    }

    /** Records an event that was not passed on, since others before it are missing. */
    void onRefused(long id, long before) {
        count(id, before);
    }

    private void count(long id, long before) {
        if (before == NONE) {
            startId = id;
        } else if (id == before + 1) {
            steps++;
        } else {
            jumps++;
        }
    }

    void onSkipped() {
        skipped++;
    }

    void onEmptyBlock() {
        emptyBlocks++;
    }

    void onFault(EventFault found) {
        fault = found;
    }

    /** Returns the number of events that were passed on. */
    public int passedOn() {
        return passedOn;
    }

    /** Returns the id of the first event that was passed on, -1 if there was none. */
    public long firstId() {
        return firstId;
    }

    /** Returns the id of the last event that was passed on, -1 if there was none. */
    public long lastId() {
        return lastId;
    }

    /** Returns the number of events that the caller had already received. */
    public int skipped() {
        return skipped;
    }

    /** Returns the id of the first event of the stream, -1 if the response did not begin it. */
    long startId() {
        return startId;
    }

    /** Returns the number of ids that were one above the id before. */
    int steps() {
        return steps;
    }

    /** Returns the number of ids that were further above the id before. */
    public int jumps() {
        return jumps;
    }

    /** Returns the number of blocks that hold no event. */
    public int emptyBlocks() {
        return emptyBlocks;
    }

    /** Returns why the rest of the response was not passed on, null if it was. */
    public EventFault fault() {
        return fault;
    }
}
