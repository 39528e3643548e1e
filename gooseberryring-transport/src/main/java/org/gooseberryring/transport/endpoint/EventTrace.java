package org.gooseberryring.transport.endpoint;

/** Figures of the events in the response of one endpoint, for logs. Not thread-safe. */
public final class EventTrace {
    private static final long NONE = -1;

    private long firstId = NONE;
    private long lastId = NONE;
    private int passedOn;
    private int skipped;
    private int jumps;
    private int emptyBlocks;
    private EventFault fault;

    void onPassedOn(long id) {
        if (passedOn == 0) {
            firstId = id;
        } else if (id != lastId + 1) {
            jumps++;
        }
        lastId = id;
        passedOn++;
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

    /** Returns the number of ids that were not one above the id before. */
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
