package org.gooseberryring.transport.endpoint;

import java.util.OptionalLong;

/**
 * How the endpoints of a service number the events of their streams, learned from earlier streams; may be used on any
 * thread.
 *
 * <p>The protocol only states that ids increase. Where the ids of a service nearly always follow each other, one that is
 * further ahead shows that an event is missing.
 */
public final class EventNumbering {
    private final Regularity steps = new Regularity();
    private Regularity starts = new Regularity();
    private long usualStart;

    /** Adds the ids in the response of one endpoint. */
    synchronized void add(EventTrace trace) {
        steps.add(trace.steps(), trace.jumps());
        if (trace.startId() >= 0) {
            addStart(trace.startId());
        }
    }

    private void addStart(long id) {
        if (starts.isEmpty() || starts.isRefuted()) {
            starts = new Regularity();
            usualStart = id;
        }
        boolean isUsual = id == usualStart;
        starts.add(isUsual ? 1 : 0, isUsual ? 0 : 1);
    }

    /** Returns the id that is due after another one, empty if it is not known. */
    synchronized OptionalLong after(long id) {
        return steps.isKnown() ? OptionalLong.of(id + 1) : OptionalLong.empty();
    }

    /** Returns the id that is due at the start of a stream, empty if it is not known. */
    synchronized OptionalLong start() {
        return steps.isKnown() && starts.isKnown() ? OptionalLong.of(usualStart) : OptionalLong.empty();
    }
}
