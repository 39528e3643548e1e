package org.gooseberryring.host.caller;

import java.util.List;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/** Chooses which headers of an endpoint's answer its caller gets. */
@FunctionalInterface
public interface ResponseHeaderPolicy {
    /** Headers that the product's own caller interface passes on. */
    ResponseHeaderPolicy STANDARD = only(List.of(
            Headers.CONTENT_TYPE,
            Headers.CACHE_CONTROL,
            Headers.CONTENT_DISPOSITION,
            Headers.CONTENT_ENCODING,
            Headers.CONTENT_LANGUAGE,
            Headers.ETAG,
            Headers.LAST_MODIFIED,
            Headers.LOCATION,
            Headers.RETRY_AFTER));

    /** Copies headers of the endpoint's answer to the answer for the caller. */
    void copy(HeaderMap from, HeaderMap to);

    /** Returns a choice of the named headers. */
    private static ResponseHeaderPolicy only(List<HttpString> names) {
        return (from, to) -> {
            for (HttpString name : names) {
                if (from.contains(name)) {
                    to.putAll(name, from.get(name));
                }
            }
        };
    }
}
