package org.gooseberryring.host.caller;

import java.util.List;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/** Selects the headers of an endpoint's response that are passed on to the caller. */
@FunctionalInterface
public interface ResponseHeaderPolicy {
    /** Policy of the product's own caller interface. */
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

    /** Copies the selected headers of the endpoint's response to the response for the caller. */
    void copy(HeaderMap from, HeaderMap to);

    /** Returns a policy that copies only the named headers. */
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
