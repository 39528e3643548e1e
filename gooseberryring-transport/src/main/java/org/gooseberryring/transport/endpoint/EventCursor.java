package org.gooseberryring.transport.endpoint;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Place that a stream of server-sent events has reached at its caller, over all endpoints that sent a part of it.
 *
 * <p>It passes on whole events only, so that another endpoint can go on after the last one, and leaves out events that
 * the caller has already. Belongs to the I/O thread of the request.
 */
public final class EventCursor {
    private static final long NONE = -1;
    private static final String ID_FIELD = "id:";
    private static final int MAX_ID_CHARS = 18;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private final EventBoundary boundary = new EventBoundary();
    private long lastId;

    /** Creates a cursor; {@code lastEventId} is the event after which the caller wants the stream to go on, if any. */
    public EventCursor(OptionalLong lastEventId) {
        this.lastId = lastEventId.orElse(NONE);
    }

    /** Returns the id of the last event that was passed on, or null if there was none. */
    public String lastEventId() {
        return lastId == NONE ? null : Long.toString(lastId);
    }

    /** Drops the beginning of an event whose end did not arrive, before another endpoint goes on. */
    public void restart() {
        partial.reset();
        boundary.restart();
    }

    /** Returns whether an event has begun and not ended. */
    public boolean inEvent() {
        return partial.size() > 0;
    }

    /** Returns the bytes of the event that has begun and not ended. */
    long pendingBytes() {
        return partial.size();
    }

    /** Takes all remaining bytes of a buffer and returns the new whole events, empty if none ended. */
    public ByteBuffer take(ByteBuffer bytes) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            partial.write(b);
            if (boundary.endsWith(b)) {
                pass(whole);
            }
        }
        return ByteBuffer.wrap(whole.toByteArray());
    }

    private void pass(ByteArrayOutputStream whole) {
        byte[] event = partial.toByteArray();
        partial.reset();
        long id = id(event);
        if (id != NONE && id <= lastId) {
            return;
        }
        if (id != NONE) {
            lastId = id;
        }
        whole.writeBytes(event);
    }

    private static long id(byte[] event) {
        for (String line : new String(event, StandardCharsets.ISO_8859_1).split("\n")) {
            if (line.startsWith(ID_FIELD)) {
                String value = line.substring(ID_FIELD.length()).strip();
                boolean number = !value.isEmpty()
                        && value.length() <= MAX_ID_CHARS
                        && value.chars().allMatch(c -> c >= '0' && c <= '9');
                return number ? Long.parseLong(value) : NONE;
            }
        }
        return NONE;
    }
}
