package org.gooseberryring.coordination.request;

import java.util.LinkedHashSet;
import java.util.Set;

/** Requests that ended before the result of their claim arrived, so that a late grant is released. */
final class AbandonedClaims {
    /** Maximum number of requests; the oldest is removed above it. An owner replies within seconds. */
    private static final int MAX_CLAIMS = 10_000;

    private final Set<String> requestIds = new LinkedHashSet<>();

    void add(String requestId) {
        requestIds.add(requestId);
        if (requestIds.size() > MAX_CLAIMS) {
            requestIds.remove(requestIds.iterator().next());
        }
    }

    /** Removes a request; returns whether its claim was abandoned. */
    boolean remove(String requestId) {
        return requestIds.remove(requestId);
    }
}
