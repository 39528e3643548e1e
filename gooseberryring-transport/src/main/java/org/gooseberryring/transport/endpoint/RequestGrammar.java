package org.gooseberryring.transport.endpoint;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import org.gooseberryring.transport.http.HeaderGrammar;

/** Decides whether the head of a request can be written such that its receiver reads one request, and this one. */
final class RequestGrammar {
    private static final char DELETE = 0x7f;

    private RequestGrammar() {}

    /** Returns whether no character of the line ends a word of it, or would be written as another one. */
    static boolean isRequestLine(String method, String target) {
        return HeaderGrammar.isToken(method) && isTarget(target);
    }

    /** Returns whether no character of the headers ends a name or a line, or would be written as another one. */
    static boolean areHeaders(HeaderMap headers) {
        for (HeaderValues values : headers) {
            if (!HeaderGrammar.isToken(values.getHeaderName().toString())
                    || !values.stream().allMatch(HeaderGrammar::isValue)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isTarget(String text) {
        return text.startsWith("/") && text.chars().allMatch(c -> c > ' ' && c < DELETE);
    }
}
