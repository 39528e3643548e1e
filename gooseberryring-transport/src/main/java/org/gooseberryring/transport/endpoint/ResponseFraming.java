package org.gooseberryring.transport.endpoint;

import java.util.regex.Pattern;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;

/** Determines the length of the body of a response from its head. */
final class ResponseFraming {
    private static final String HEAD = "HEAD";
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** Every number of so many digits fits into a long. */
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private ResponseFraming() {}

    /** Returns whether a response ends with its head, whatever length the head states. */
    static boolean isBodiless(String method, int status) {
        return HEAD.equals(method) || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /**
     * Returns whether the length of the body is stated in one way at most. Otherwise a part of the body could pass for all of
     * it, since the HTTP client follows one of the statements.
     */
    static boolean isUnambiguous(HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        int codings = headers.count(Headers.TRANSFER_ENCODING);
        if (lengths != null) {
            // The same length twice is one statement.
            boolean isOne = lengths.stream().distinct().count() == 1;
            return isOne && codings == 0 && LENGTH.matcher(lengths.getFirst()).matches();
        }
        return codings == 0
                || codings == 1
                        && Headers.CHUNKED.toString().equalsIgnoreCase(headers.getFirst(Headers.TRANSFER_ENCODING));
    }
}
