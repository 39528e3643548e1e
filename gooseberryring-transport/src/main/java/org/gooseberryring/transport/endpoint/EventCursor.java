package org.gooseberryring.transport.endpoint;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.OptionalLong;

/**
 * Position of a stream of server-sent events at its caller, across all endpoints that sent a part of the stream.
 *
 * <p>The cursor passes on only complete events with increasing ids, and nothing between them, so that bytes which no
 * endpoint has meant as an event do not reach the caller as one, and another endpoint can continue after the last event. It
 * ends an attempt at an event that is missing, where the events of the service follow each other. In a stream that may be
 * continued, it skips the first events of a response that the caller has already received. Not thread-safe; used on the
 * I/O thread of the request only.
 */
public final class EventCursor {
    private static final long NONE = -1;

    private final EventBoundary boundary = new EventBoundary();
    private final boolean resumable;
    private final EventNumbering numbering;
    private ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private long lastId;
    private String endpoint = "";
    private long idAfterGap = NONE;
    private String endpointWithGap = "";
    private long lastSkippedId = NONE;
    private EventFault fault;
    private EventTrace trace = new EventTrace();

    /**
     * Creates a cursor of a stream that may be continued.
     *
     * @param lastEventId event after which the caller resumes the stream
     * @param numbering how the endpoints of the service number their events
     */
    public EventCursor(OptionalLong lastEventId, EventNumbering numbering) {
        this(lastEventId.orElse(NONE), true, numbering);
    }

    private EventCursor(long lastId, boolean resumable, EventNumbering numbering) {
        this.lastId = lastId;
        this.resumable = resumable;
        this.numbering = numbering;
    }

    /** Creates a cursor of a stream that no other endpoint may continue. */
    public static EventCursor ofSingleRun(EventNumbering numbering) {
        return new EventCursor(NONE, false, numbering);
    }

    /** Returns whether another endpoint may continue the stream. */
    public boolean isResumable() {
        return resumable;
    }

    /** Returns the id of the last event that was passed on, null if there was none or the stream may not be continued. */
    public String lastEventId() {
        return lastId == NONE || !resumable ? null : Long.toString(lastId);
    }

    /** Returns the figures of the current or last attempt. */
    EventTrace trace() {
        return trace;
    }

    /** Returns the figures of the last attempt, once; an attempt that never began has none. */
    public EventTrace takeTrace() {
        EventTrace taken = trace;
        trace = new EventTrace();
        return taken;
    }

    /** Starts an attempt at an endpoint, after the end of another one; discards an event whose end did not arrive. */
    void startAttempt(String address) {
        discardPartialEvent();
        endpoint = address;
        fault = null;
        lastSkippedId = NONE;
        trace = new EventTrace();
        if (!resumable) {
            lastId = NONE;
        }
    }

    /** Returns whether no event has reached the caller. */
    boolean isAtStart() {
        return lastId == NONE;
    }

    /** Ends an attempt; discards an event whose end did not arrive, and its buffer. */
    void endAttempt() {
        discardPartialEvent();
        numbering.add(trace);
    }

    private void discardPartialEvent() {
        partial = new ByteArrayOutputStream();
        boundary.reset();
    }

    /** Returns the number of buffered bytes of the incomplete event. */
    long pendingBytes() {
        return partial.size();
    }

    /** Returns why nothing is passed on from some place of the response on, null if all its events are sound so far. */
    EventFault fault() {
        return fault;
    }

    /** Consumes all remaining bytes of a buffer and returns the new complete events, empty if none ended. */
    public ByteBuffer consume(ByteBuffer bytes) {
        ByteArrayOutputStream completeEvents = new ByteArrayOutputStream();
        byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        int start = 0;
        for (int i = 0; i < chunk.length && fault == null; i++) {
            if (boundary.endsEvent(chunk[i])) {
                partial.write(chunk, start, i + 1 - start);
                start = i + 1;
                append(completeEvents);
            }
        }
        if (fault == null) {
            partial.write(chunk, start, chunk.length - start);
        }
        return ByteBuffer.wrap(completeEvents.toByteArray());
    }

    private void append(ByteArrayOutputStream completeEvents) {
        byte[] block = partial.toByteArray();
        partial.reset();
        StreamEvent event = StreamEvent.parse(block);
        if (event.isEmpty()) {
            // Callers ignore it, or take it for an event with an empty id.
            trace.onEmptyBlock();
        } else if (event.fault() != null) {
            stop(event.fault());
        } else if (event.id() <= lastId) {
            skip(event.id());
        } else if (isAfterGap(event.id())) {
            refuse(event.id());
        } else {
            trace.onPassedOn(event.id(), lastId);
            lastId = event.id();
            idAfterGap = NONE;
            completeEvents.writeBytes(block);
        }
    }

    /** Skips an event that the caller has, which only the first events of a continued stream may be. */
    private void skip(long id) {
        if (!resumable || trace.passedOn() > 0 || id <= lastSkippedId) {
            stop(EventFault.REPEATED_ID);
            return;
        }
        lastSkippedId = id;
        trace.onSkipped();
    }

    /** Returns whether events before this one are missing, unless two endpoints go on with the same one. */
    private boolean isAfterGap(long id) {
        if (lastId != NONE && id == lastId + 1) {
            return false;
        }
        OptionalLong due = lastId == NONE ? numbering.first() : numbering.after(lastId);
        boolean isConfirmed = id == idAfterGap && !endpoint.equals(endpointWithGap);
        return due.isPresent() && id > due.getAsLong() && !isConfirmed;
    }

    private void refuse(long id) {
        idAfterGap = id;
        endpointWithGap = endpoint;
        trace.onRefused(id, lastId);
        stop(EventFault.MISSING_EVENT);
    }

    private void stop(EventFault found) {
        fault = found;
        trace.onFault(found);
    }
}
