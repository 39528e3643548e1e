package org.gooseberryring.transport.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One complete block of a stream of server-sent events.
 *
 * @param id id of the event, {@link #NO_ID} if the block is none
 * @param fault why no sound endpoint sends the block as an event, null if it is an event or has only comments and empty
 *     lines, which callers ignore
 */
record StreamEvent(long id, EventFault fault) {
    /** Id of a block that is no event. */
    static final long NO_ID = -1;

    private static final StreamEvent EMPTY = new StreamEvent(NO_ID, null);
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data:";
    private static final String COMMENT = ":";

    /** Every number of so many digits fits into a long. */
    private static final int MAX_ID_DIGITS = 18;

    /** Parses a block up to the end of its empty line; an event has exactly one numeric id, and a text. */
    static StreamEvent parse(byte[] block) {
        long id = NO_ID;
        boolean hasFields = false;
        boolean hasText = false;
        for (String line : lines(new String(block, StandardCharsets.ISO_8859_1))) {
            if (line.isEmpty() || line.startsWith(COMMENT) && line.indexOf('\r') < 0) {
                continue;
            }
            hasFields = true;
            if (!isField(line)) {
                return faulty(EventFault.UNKNOWN_LINE);
            }
            hasText |= line.startsWith(DATA_FIELD);
            if (line.startsWith(ID_FIELD)) {
                if (id != NO_ID) {
                    return faulty(EventFault.SECOND_ID);
                }
                id = number(value(line.substring(ID_FIELD.length())));
                if (id == NO_ID) {
                    return faulty(EventFault.UNREADABLE_ID);
                }
            }
        }
        if (!hasFields) {
            return EMPTY;
        }
        if (id == NO_ID) {
            return faulty(EventFault.NO_ID);
        }
        // Callers do not take fields without a text for an event, so that the next one would not be the one that is
        // due.
        return hasText ? new StreamEvent(id, null) : faulty(EventFault.NO_TEXT);
    }

    /** Returns whether the block has only comments and empty lines. */
    boolean isEmpty() {
        return id == NO_ID && fault == null;
    }

    private static StreamEvent faulty(EventFault fault) {
        return new StreamEvent(NO_ID, fault);
    }

    /** Splits lines that end with LF or CR LF; not by a regular expression, since this runs for each event. */
    private static List<String> lines(String text) {
        List<String> lines = new ArrayList<>();
        int start = 0;
        while (start < text.length()) {
            int lineFeed = text.indexOf('\n', start);
            int end = lineFeed < 0 ? text.length() : lineFeed;
            boolean endsWithReturn = end > start && text.charAt(end - 1) == '\r';
            lines.add(text.substring(start, endsWithReturn ? end - 1 : end));
            start = end + 1;
        }
        return lines;
    }

    /** Returns whether a line has the name of a field, in lower case, and a value. */
    private static boolean isField(String line) {
        // Callers may take each carriage return for the end of a line, and so read fields that no event has.
        if (line.indexOf('\r') >= 0) {
            return false;
        }
        int colon = line.indexOf(':');
        for (int i = 0; i < colon; i++) {
            char c = line.charAt(i);
            if ((c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-') {
                return false;
            }
        }
        return colon > 0;
    }

    /** Removes the one space that may precede the value of a field; callers take all others for a part of it. */
    private static String value(String afterColon) {
        return afterColon.startsWith(" ") ? afterColon.substring(1) : afterColon;
    }

    private static long number(String value) {
        boolean isNumber = !value.isEmpty()
                && value.length() <= MAX_ID_DIGITS
                && value.chars().allMatch(c -> c >= '0' && c <= '9');
        return isNumber ? Long.parseLong(value) : NO_ID;
    }
}
