package org.gooseberryring.transport.store;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.GooseberryringException;
import org.gooseberryring.transport.http.HttpCallException;
import org.gooseberryring.transport.http.HttpCaller;
import org.gooseberryring.transport.http.HttpResult;

/** Client of the platform's object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
    private static final Map<String, String> NO_HEADERS = Map.of();
    private static final String OBJECTS_PATH = "/v1/objects/";
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int FIRST_REDIRECT_STATUS = 300;
    // Bad request, value too large, condition missing, rate exceeded, service unavailable: rejected without any effect.
    private static final Set<Integer> NO_EFFECT_STATUSES = Set.of(400, 413, 428, 429, 503);

    private final HttpCaller caller;
    private final URI base;
    private final long timeoutMillis;

    /**
     * Creates a client.
     *
     * @param caller makes the calls
     * @param base address of the platform, without a path
     * @param timeoutMillis time-out of one call in milliseconds, excluding the wait of a watch
     */
    public HttpObjectStore(HttpCaller caller, URI base, long timeoutMillis) {
        this.caller = caller;
        this.base = base;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public StoreReply read(String key) {
        return get(key, "", timeoutMillis);
    }

    @Override
    public StoreReply put(String key, long expectedVersion, byte[] value) {
        Map<String, String> condition =
                expectedVersion == 0 ? Map.of("If-None-Match", "*") : Map.of("If-Match", quote(expectedVersion));
        try {
            HttpResult result = caller.call("PUT", uri(key, ""), condition, value, timeoutMillis);
            if (result.status() < FIRST_REDIRECT_STATUS) {
                return new StoreReply(key, StoreOutcome.OK, version(result), null);
            }
            if (result.status() == PRECONDITION_FAILED) {
                return new StoreReply(key, StoreOutcome.CONFLICT, version(result), null);
            }
            // With any other status, such as a gateway's 500 or 504, it is unknown whether the write took effect.
            boolean hadNoEffect = NO_EFFECT_STATUSES.contains(result.status());
            return replyWithoutValue(key, hadNoEffect ? StoreOutcome.UNAVAILABLE : StoreOutcome.UNKNOWN);
        } catch (HttpCallException e) {
            return replyWithoutValue(key, e.mayHaveBeenSent() ? StoreOutcome.UNKNOWN : StoreOutcome.UNAVAILABLE);
        }
    }

    @Override
    public StoreReply watch(String key, long afterVersion, long waitMillis) {
        return get(key, "?after=" + afterVersion + "&waitMillis=" + waitMillis, timeoutMillis + waitMillis);
    }

    @Override
    public List<String> list(String prefix) {
        URI uri = base.resolve("/v1/objects?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8));
        try {
            HttpResult result = caller.call("GET", uri, NO_HEADERS, null, timeoutMillis);
            if (result.status() < FIRST_REDIRECT_STATUS) {
                return Arrays.asList(Json.read(result.body(), String[].class));
            }
            throw new GooseberryringException(
                    ErrorCode.STORE_UNAVAILABLE, "The store returned status " + result.status() + " for a list call");
        } catch (HttpCallException e) {
            throw new GooseberryringException(ErrorCode.STORE_UNAVAILABLE, e.getMessage());
        }
    }

    private StoreReply get(String key, String query, long callTimeoutMillis) {
        try {
            HttpResult result = caller.call("GET", uri(key, query), NO_HEADERS, null, callTimeoutMillis);
            if (result.status() < FIRST_REDIRECT_STATUS) {
                return new StoreReply(key, StoreOutcome.OK, version(result), result.body());
            }
            if (result.status() == NOT_FOUND) {
                return replyWithoutValue(key, StoreOutcome.ABSENT);
            }
            if (result.status() == NOT_MODIFIED) {
                return new StoreReply(key, StoreOutcome.CONFLICT, version(result), null);
            }
            return replyWithoutValue(key, StoreOutcome.UNAVAILABLE);
        } catch (HttpCallException e) {
            // A read has no effect, so its outcome is never unknown.
            return replyWithoutValue(key, StoreOutcome.UNAVAILABLE);
        }
    }

    private URI uri(String key, String query) {
        return base.resolve(OBJECTS_PATH + key + query);
    }

    private static StoreReply replyWithoutValue(String key, StoreOutcome outcome) {
        return new StoreReply(key, outcome, 0, null);
    }

    private static String quote(long version) {
        return "\"" + version + "\"";
    }

    private static long version(HttpResult result) {
        String tag = result.header("ETag");
        if (tag == null) {
            return 0;
        }
        try {
            return Long.parseLong(tag.replace("\"", ""));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
