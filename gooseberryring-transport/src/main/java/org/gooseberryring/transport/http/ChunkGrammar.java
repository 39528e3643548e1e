package org.gooseberryring.transport.http;

/**
 * Checks the chunks of a body up to the line end behind the last chunk's size.
 *
 * <p>The parser of the HTTP client takes a chunk size that starts with anything but a digit for the size 0, which ends the
 * response regularly, and skips all bytes between a chunk and its line end. Not thread-safe.
 */
final class ChunkGrammar {
    private static final int RADIX = 16;

    /** Every number of so many hexadecimal digits fits into a long. */
    private static final int MAX_SIZE_DIGITS = 15;

    private State state = State.SIZE;
    private long size;
    private int digits;

    private enum State {
        SIZE,
        EXTENSION,
        SIZE_LINE_END,
        DATA,
        DATA_RETURN,
        DATA_LINE_END,
        ENDED
    }

    /** Returns whether the size line of the last chunk has ended, so that trailers follow. */
    boolean isEnded() {
        return state == State.ENDED;
    }

    /** Consumes as many bytes of a chunk's content as are available, and returns their number. */
    int contentBytes(int available) {
        if (state != State.DATA) {
            return 0;
        }
        int count = (int) Math.min(size, available);
        size -= count;
        state = size == 0 ? State.DATA_RETURN : State.DATA;
        return count;
    }

    /** Consumes a byte that is not content; returns false if it is not the next one of a correct body. */
    boolean accept(char c) {
        switch (state) {
            case SIZE -> {
                return acceptSize(c);
            }
            case EXTENSION -> {
                state = c == '\r' ? State.SIZE_LINE_END : State.EXTENSION;
                return c != '\n';
            }
            case SIZE_LINE_END -> {
                state = size == 0 ? State.ENDED : State.DATA;
                return c == '\n';
            }
            case DATA_RETURN -> {
                state = State.DATA_LINE_END;
                return c == '\r';
            }
            case DATA_LINE_END -> {
                state = State.SIZE;
                size = 0;
                digits = 0;
                return c == '\n';
            }
            default -> {
                return true;
            }
        }
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
