package org.gooseberryring.host.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.gooseberryring.state.ErrorCode;

/** Rules for the headers and the query of callers' requests. */
public final class HeaderRules {
    private static final List<HttpString> SINGLE_VALUE_HEADERS =
            List.of(Headers.AUTHORIZATION, Headers.CONTENT_LENGTH, Headers.TRANSFER_ENCODING, Headers.HOST);
    private static final Set<String> API_KEY_PARAMETERS =
            Set.of("key", "apikey", "accesstoken", "authorization", "token", "bearer");
    private static final List<HttpString> FORWARDED_HEADERS = List.of(
            Headers.ACCEPT,
            Headers.ACCEPT_LANGUAGE,
            Headers.CONTENT_TYPE,
            Headers.IF_MATCH,
            Headers.IF_NONE_MATCH,
            Headers.IF_MODIFIED_SINCE,
            new HttpString("Idempotency-Key"));

    private HeaderRules() {}

    /**
     * Refuses header combinations that two servers could interpret differently, and API keys in the query.
     *
     * @param query parameters that are not decoded, in which percent signs are followed by two hexadecimal digits
     */
    static void check(HeaderMap headers, Map<String, Deque<String>> query) {
        checkFraming(headers);
        for (String name : query.keySet()) {
            String decoded = URLDecoder.decode(name, StandardCharsets.UTF_8);
            if (API_KEY_PARAMETERS.contains(decoded.toLowerCase(Locale.ROOT).replaceAll("[_-]", ""))) {
                throw refused("An API key must be sent in the Authorization header, not in the query");
            }
        }
    }

    /** Refuses header combinations that two servers could interpret as different requests. */
    public static void checkFraming(HeaderMap headers) {
        for (HttpString name : SINGLE_VALUE_HEADERS) {
            HeaderValues values = headers.get(name);
            if (values != null && values.size() > 1) {
                throw refused("Header " + name + " occurs more than once");
            }
        }
        String length = headers.getFirst(Headers.CONTENT_LENGTH);
        String encoding = headers.getFirst(Headers.TRANSFER_ENCODING);
        if (length != null && encoding != null) {
            throw refused("Content-Length and Transfer-Encoding must not be combined");
        }
        if (length != null && !isLength(length)) {
            throw refused("Content-Length is malformed");
        }
        if (encoding != null && !"chunked".equalsIgnoreCase(encoding)) {
            throw refused("Transfer-Encoding other than chunked is not supported");
        }
    }

    /** Returns a copy of the headers that are forwarded to endpoints. */
    static HeaderMap forEndpoint(HeaderMap headers) {
        HeaderMap allowed = new HeaderMap();
        for (HttpString name : FORWARDED_HEADERS) {
            HeaderValues values = headers.get(name);
            if (values != null) {
                allowed.putAll(name, values);
            }
        }
        return allowed;
    }

    private static boolean isLength(String text) {
        return !text.isEmpty() && text.length() <= 18 && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static RefusedException refused(String detail) {
        return new RefusedException(Refusal.of(ErrorCode.INVALID_REQUEST, detail));
    }
}
