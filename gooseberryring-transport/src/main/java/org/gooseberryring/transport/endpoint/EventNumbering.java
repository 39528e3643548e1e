package org.gooseberryring.transport.endpoint;

import java.util.OptionalLong;

/**
 * How the endpoints of a service number the events of their streams, learned from earlier streams; may be used on any
 * thread.
 *
 * <p>The protocol only states that ids increase. Where the ids of nearly all streams of a service follow each other,
 * one that is further ahead shows that an event is missing. Streams are counted, not ids, since a stream of a single run ends
 * at its first gap, and long ones before it would hide that gaps are usual.
 */
public final class EventNumbering {
    private final Regularity streams = new Regularity();
    private Regularity firstIds = new Regularity();
    private long usualFirstId;

    /** Adds the ids in the response of one endpoint. */
    synchronized void add(EventTrace trace) {
        if (trace.steps() + trace.jumps() > 0) {
            streams.add(trace.jumps() == 0);
        }
        if (trace.startId() >= 0) {
            addFirstId(trace.startId());
        }
    }

    private void addFirstId(long id) {
        if (firstIds.isEmpty() || firstIds.isMostlyExceptions()) {
            firstIds = new Regularity();
            usualFirstId = id;
        }
        firstIds.add(id == usualFirstId);
    }

    /** Returns the id that is due after another one, empty if it is not known. */
    synchronized OptionalLong after(long id) {
        return streams.isKnown() ? OptionalLong.of(id + 1) : OptionalLong.empty();
    }

    /** Returns the id that is due at the start of a stream, empty if it is not known. */
    synchronized OptionalLong first() {
        return streams.isKnown() && firstIds.isKnown() ? OptionalLong.of(usualFirstId) : OptionalLong.empty();
    }
}
