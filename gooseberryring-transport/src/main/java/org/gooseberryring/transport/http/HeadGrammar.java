package org.gooseberryring.transport.http;

import java.util.regex.Pattern;

/**
 * Checks the lines of the head of a response, and determines from them how its body is framed.
 *
 * <p>The parser of the HTTP client takes any number for a status, joins lines that begin with a blank to the line before,
 * and follows one of several lengths. Not thread-safe.
 */
final class HeadGrammar {
    /** Number of characters before the status in a status line. */
    static final int PROTOCOL_CHARS = "HTTP/1.1 ".length();

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2} .*", Pattern.DOTALL);
    private static final String OLD_PROTOCOL = "HTTP/1.0";
    private static final String INTERIM_CLASS = "1";

    /** Status of a response after which the connection has another protocol; no request asks for one. */
    private static final String SWITCHING_PROTOCOLS = "101";

    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";

    /** Every number of so many digits fits into a long. */
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private boolean interim;
    private boolean oldProtocol;
    private String length;
    private int codings;
    private boolean contradictory;

    /** Returns whether a line without its end is the first one of a response; begins a new head with it. */
    boolean acceptStatusLine(String line) {
        interim = line.startsWith(INTERIM_CLASS, PROTOCOL_CHARS);
        oldProtocol = line.startsWith(OLD_PROTOCOL);
        length = null;
        codings = 0;
        contradictory = false;
        return STATUS_LINE.matcher(line).matches()
                && !line.startsWith(SWITCHING_PROTOCOLS, PROTOCOL_CHARS)
                && HeaderGrammar.isValue(line);
    }

    /** Returns whether a line without its end is a header or a trailer. */
    boolean acceptHeader(String line) {
        int colon = line.indexOf(':');
        String name = line.substring(0, Math.max(0, colon));
        if (!HeaderGrammar.isToken(name)) {
            return false;
        }
        String value = line.substring(colon + 1);
        if (CONTENT_LENGTH.equalsIgnoreCase(name)) {
            acceptLength(value.strip());
        } else if (TRANSFER_ENCODING.equalsIgnoreCase(name)) {
            codings++;
            contradictory |= !CHUNKED.equalsIgnoreCase(value.strip());
        }
        return HeaderGrammar.isValue(value);
    }

    /** The same length twice is one statement. */
    private void acceptLength(String value) {
        contradictory |= !LENGTH.matcher(value).matches() || length != null && !length.equals(value);
        length = value;
    }

    /**
     * Returns whether the head states the length of the body in one way at most, and in one that its protocol has. Otherwise a
     * part of the body could pass for all of it.
     */
    boolean isUnambiguous() {
        boolean isLengthStatedTwice = codings > 1 || codings == 1 && (length != null || oldProtocol);
        return interim || !contradictory && !isLengthStatedTwice;
    }

    /** Returns whether another head follows the present one. */
    boolean isInterim() {
        return interim;
    }

    /** Returns whether chunks follow the present head. */
    boolean isChunked() {
        return codings > 0;
    }
}
