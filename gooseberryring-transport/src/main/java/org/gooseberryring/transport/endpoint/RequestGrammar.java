package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;

/** Decides whether the head of a request can be written such that its receiver reads one request, and this one. */
final class RequestGrammar {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final char DELETE = 0x7f;

    /** Largest character of a header value; the HTTP client writes only the low byte of a character. */
    private static final char MAX_VALUE_CHARACTER = 0xff;

    private RequestGrammar() {}

    /** Returns whether no character of the line ends a word of it, or would be written as another one. */
    static boolean isRequestLine(String method, String target) {
        return isToken(method) && isTarget(target);
    }

    /** Returns whether no character of the headers ends a name or a line, or would be written as another one. */
    static boolean areHeaders(HeaderMap headers) {
        for (HeaderValues values : headers) {
            if (!isToken(values.getHeaderName().toString()) || !values.stream().allMatch(RequestGrammar::isValue)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(RequestGrammar::isTokenCharacter);
    }

    private static boolean isTokenCharacter(int c) {
        boolean alphanumeric = c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z';
        return alphanumeric || TOKEN_PUNCTUATION.indexOf(c) >= 0;
    }

    private static boolean isTarget(String text) {
        return text.startsWith("/") && text.chars().allMatch(c -> c > ' ' && c < DELETE);
    }

    private static boolean isValue(String text) {
        return text.chars().allMatch(c -> c == '\t' || c >= ' ' && c != DELETE && c <= MAX_VALUE_CHARACTER);
    }
}
