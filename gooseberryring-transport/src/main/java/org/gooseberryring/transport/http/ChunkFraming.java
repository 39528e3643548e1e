package org.gooseberryring.transport.http;

import java.nio.ByteBuffer;
import java.util.Locale;

/**
 * Checks the framing of a chunked response.
 *
 * <p>The parser of the HTTP client takes a chunk size that starts with anything but a digit for the size 0, which ends the
 * response regularly, and skips all bytes between a chunk and its line end. Responses without chunks are not checked. Not
 * thread-safe.
 */
final class ChunkFraming {
    private static final int RADIX = 16;
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";

    /** Number of characters before the status in a status line. */
    private static final int PROTOCOL_CHARS = "HTTP/1.1 ".length();

    /** First digit of the status of a response that another one follows. */
    private static final String INTERIM_CLASS = "1";

    /** Every number of so many hexadecimal digits fits into a long. */
    private static final int MAX_SIZE_DIGITS = 15;

    private final StringBuilder line = new StringBuilder();
    private State state = State.STATUS_LINE;
    private boolean interim;
    private boolean chunked;
    private long size;
    private int digits;

    private enum State {
        STATUS_LINE,
        HEADERS,
        SIZE,
        EXTENSION,
        SIZE_LINE_END,
        DATA,
        DATA_RETURN,
        DATA_LINE_END,
        TRAILERS,
        UNCHECKED
    }

    /**
     * Consumes the bytes of a buffer between two positions.
     *
     * @return position of the first byte that is not the next one of a response that is framed correctly, {@code end} if there
     *     is none
     */
    int accept(ByteBuffer bytes, int start, int end) {
        int at = start;
        while (at < end && state != State.UNCHECKED) {
            int content = contentBytes(end - at);
            at += content;
            if (content == 0 && !accept(bytes.get(at++))) {
                return at - 1;
            }
        }
        return end;
    }

    /** Consumes as many bytes of a chunk's content as are available, and returns their number. */
    private int contentBytes(int available) {
        if (state != State.DATA) {
            return 0;
        }
        int count = (int) Math.min(size, available);
        size -= count;
        state = size == 0 ? State.DATA_RETURN : State.DATA;
        return count;
    }

    private boolean accept(byte b) {
        char c = (char) (b & 0xff);
        switch (state) {
            case STATUS_LINE, HEADERS, TRAILERS -> {
                return acceptLine(c);
            }
            case SIZE -> {
                return acceptSize(c);
            }
            case EXTENSION -> {
                state = c == '\r' ? State.SIZE_LINE_END : State.EXTENSION;
                return c != '\n';
            }
            case SIZE_LINE_END -> {
                state = size == 0 ? State.TRAILERS : State.DATA;
                return c == '\n';
            }
            case DATA_RETURN -> {
                state = State.DATA_LINE_END;
                return c == '\r';
            }
            case DATA_LINE_END -> {
                startChunk();
                return c == '\n';
            }
            default -> {
                return true;
            }
        }
    }

    private boolean acceptLine(char c) {
        if (c != '\n') {
            line.append(c);
            return true;
        }
        String ended = line.toString().stripTrailing();
        line.setLength(0);
        if (state == State.STATUS_LINE) {
            interim = ended.startsWith(INTERIM_CLASS, PROTOCOL_CHARS);
            chunked = false;
            state = State.HEADERS;
        } else if (state == State.HEADERS) {
            acceptHeader(ended);
        } else if (ended.isEmpty()) {
            state = State.UNCHECKED;
        } else {
            return ended.indexOf(':') > 0;
        }
        return true;
    }

    private void acceptHeader(String header) {
        if (!header.isEmpty()) {
            chunked |= isTransferEncoding(header)
                    && header.toLowerCase(Locale.ROOT).endsWith(CHUNKED);
        } else if (interim) {
            state = State.STATUS_LINE;
        } else if (chunked) {
            startChunk();
        } else {
            state = State.UNCHECKED;
        }
    }

    private static boolean isTransferEncoding(String header) {
        return header.regionMatches(true, 0, TRANSFER_ENCODING, 0, TRANSFER_ENCODING.length());
    }

    private void startChunk() {
        state = State.SIZE;
        size = 0;
        digits = 0;
    }

    private boolean acceptSize(char c) {
        int digit = c < 0x80 ? Character.digit(c, RADIX) : -1;
        if (digit >= 0) {
            size = size * RADIX + digit;
            digits++;
            return digits <= MAX_SIZE_DIGITS;
        }
        state = c == '\r' ? State.SIZE_LINE_END : State.EXTENSION;
        return digits > 0 && (c == '\r' || c == ';' || c == ' ' || c == '\t');
    }
}
