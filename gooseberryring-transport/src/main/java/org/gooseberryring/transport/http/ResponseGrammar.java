package org.gooseberryring.transport.http;

import java.nio.ByteBuffer;

/**
 * Checks the bytes of a response against the grammar of HTTP/1.1, from its first byte to the end of its head or, if it is
 * sent in chunks, of its trailers.
 *
 * <p>Interim responses are passed to the reader with the status 100, since the HTTP client skips no others. Not
 * thread-safe.
 */
final class ResponseGrammar {
    private static final char INTERIM_CLASS = '1';

    private final StringBuilder line = new StringBuilder();
    private final HeadGrammar head = new HeadGrammar();
    private final ChunkGrammar chunks = new ChunkGrammar();
    private State state = State.STATUS_LINE;
    private ResponseFault fault;

    private enum State {
        STATUS_LINE,
        HEADERS,
        CHUNKS,
        TRAILERS,
        UNCHECKED
    }

    /** Returns the first violation, null if there was none. */
    ResponseFault fault() {
        return fault;
    }

    /**
     * Consumes the bytes of a buffer between two positions.
     *
     * @return position of the first byte that is not the next one of a correct response, {@code end} if there is none; of a
     *     malformed line of the head, the position of its first byte
     */
    int accept(ByteBuffer bytes, int start, int end) {
        int at = start;
        while (at < end && state != State.UNCHECKED) {
            int content = state == State.CHUNKS ? chunks.contentBytes(end - at) : 0;
            at += content;
            if (content == 0 && !accept(bytes, at++)) {
                return Math.max(start, at - 1 - rejectedBytes());
            }
        }
        return end;
    }

    private boolean accept(ByteBuffer bytes, int at) {
        char c = (char) (bytes.get(at) & 0xff);
        if (state == State.CHUNKS) {
            boolean isNext = chunks.accept(c);
            state = chunks.isEnded() ? State.TRAILERS : State.CHUNKS;
            return isNext || violated(ResponseFault.MALFORMED_CHUNK);
        }
        if (c != '\n') {
            line.append(c);
            if (isStatusOfInterim()) {
                bytes.put(at, (byte) '0');
            }
            return true;
        }
        int last = line.length() - 1;
        boolean returned = last >= 0 && line.charAt(last) == '\r';
        String ended = line.substring(0, Math.max(0, last));
        boolean isNext = returned ? acceptLine(ended) : violated(lineFault());
        if (isNext) {
            line.setLength(0);
        }
        return isNext;
    }

    /** Returns the number of bytes before the violation that its reader must not see, or it would fail on its own. */
    private int rejectedBytes() {
        return fault == ResponseFault.MALFORMED_HEAD ? line.length() : 0;
    }

    /** Returns whether the character that was just appended is the second or third digit of the status of an interim response. */
    private boolean isStatusOfInterim() {
        int digit = line.length() - HeadGrammar.PROTOCOL_CHARS;
        return state == State.STATUS_LINE
                && (digit == 2 || digit == 3)
                && line.charAt(HeadGrammar.PROTOCOL_CHARS) == INTERIM_CLASS;
    }

    private boolean acceptLine(String ended) {
        if (state == State.STATUS_LINE) {
            boolean isStatusLine = head.acceptStatusLine(ended);
            state = State.HEADERS;
            return isStatusLine || violated(lineFault());
        }
        if (!ended.isEmpty()) {
            return head.acceptHeader(ended) || violated(lineFault());
        }
        if (state == State.TRAILERS) {
            state = State.UNCHECKED;
            return true;
        }
        state = afterHead();
        return head.isUnambiguous() || violated(ResponseFault.AMBIGUOUS_LENGTH);
    }

    private State afterHead() {
        if (head.isInterim()) {
            return State.STATUS_LINE;
        }
        return head.isChunked() ? State.CHUNKS : State.UNCHECKED;
    }

    private ResponseFault lineFault() {
        return state == State.TRAILERS ? ResponseFault.MALFORMED_CHUNK : ResponseFault.MALFORMED_HEAD;
    }

    private boolean violated(ResponseFault violation) {
        fault = violation;
        return false;
    }
}
