package org.gooseberryring.host.caller;

import java.util.Deque;
import java.util.Locale;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.gooseberryring.state.ErrorCode;

/**
 * Target of a request without scheme and host, exactly as its sender has written it: nothing is decoded or normalised.
 *
 * @param path path, beginning with a slash
 * @param query query without its question mark, empty if there is none
 */
public record RawTarget(String path, String query) {
    private static final String SCHEME_END = "://";
    private static final String HTTP = "http";
    private static final String HTTPS = "https";
    private static final String HTTP_PORT = ":80";
    private static final String HTTPS_PORT = ":443";

    /**
     * Returns the target of a request. A target with scheme and host must name the host of the Host header, by which the
     * route is selected; an endpoint that follows the target could otherwise see another host than this one.
     *
     * @throws RefusedException if the target names no path, or another host
     */
    public static RawTarget of(HttpServerExchange exchange) {
        String path = exchange.isHostIncludedInRequestURI() ? pathAfterHost(exchange) : exchange.getRequestURI();
        String query = query(exchange);
        if (!path.startsWith("/") || !isVisible(path) || !isVisible(query)) {
            throw refused("The request target is malformed");
        }
        return new RawTarget(path, query);
    }

    /** Returns the path, and the query after a question mark if there is one. */
    public String pathAndQuery() {
        return query.isEmpty() ? path : path + "?" + query;
    }

    /** Returns the query; the HTTP server drops a question mark at its beginning, but not from its first parameter. */
    private static String query(HttpServerExchange exchange) {
        String kept = exchange.getQueryString();
        Map<String, Deque<String>> parameters = exchange.getQueryParameters();
        boolean complete = parameters.keySet().stream().noneMatch(name -> name.startsWith("?"));
        return complete || characters(parameters) == characters(kept) ? kept : "?" + kept;
    }

    /** Returns the number of characters of all names and values. */
    private static int characters(Map<String, Deque<String>> parameters) {
        int sum = 0;
        for (Map.Entry<String, Deque<String>> parameter : parameters.entrySet()) {
            for (String value : parameter.getValue()) {
                sum += parameter.getKey().length() + value.length();
            }
        }
        return sum;
    }

    /** Returns the number of characters of a query that belong to names and values. */
    private static int characters(String query) {
        int sum = 0;
        for (String parameter : query.split("&", -1)) {
            sum += parameter.length() - (parameter.indexOf('=') < 0 ? 0 : 1);
        }
        return sum;
    }

    private static String pathAfterHost(HttpServerExchange exchange) {
        String uri = exchange.getRequestURI();
        int schemeEnd = uri.indexOf(SCHEME_END);
        if (schemeEnd < 0) {
            throw refused("The request target has no path");
        }
        int hostStart = schemeEnd + SCHEME_END.length();
        int slash = uri.indexOf('/', hostStart);
        String scheme = uri.substring(0, schemeEnd).toLowerCase(Locale.ROOT);
        String host = slash < 0 ? uri.substring(hostStart) : uri.substring(hostStart, slash);
        String stated = exchange.getRequestHeaders().getFirst(Headers.HOST);
        if (stated == null || !withoutDefaultPort(scheme, host).equals(withoutDefaultPort(scheme, stated))) {
            throw refused("The request target and the Host header name different hosts");
        }
        return slash < 0 ? "/" : uri.substring(slash);
    }

    /** Returns a host in lower case without the port that its scheme implies. */
    private static String withoutDefaultPort(String scheme, String host) {
        String port =
                switch (scheme) {
                    case HTTP -> HTTP_PORT;
                    case HTTPS -> HTTPS_PORT;
                    default -> throw refused("The scheme of the request target is not supported");
                };
        String lower = host.toLowerCase(Locale.ROOT);
        return lower.endsWith(port) ? lower.substring(0, lower.length() - port.length()) : lower;
    }

    private static boolean isVisible(String text) {
        return text.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    private static RefusedException refused(String detail) {
        return new RefusedException(Refusal.of(ErrorCode.INVALID_REQUEST, detail));
    }
}
