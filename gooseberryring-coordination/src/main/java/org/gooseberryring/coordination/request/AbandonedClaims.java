package org.gooseberryring.coordination.request;

import java.util.LinkedHashSet;
import java.util.Set;

/** Requests that ended before their claim was answered, so that a late grant is released. */
final class AbandonedClaims {
    /** An owner answers within seconds; the oldest is forgotten beyond this number. */
    private static final int MAX_CLAIMS = 10_000;

    private final Set<String> requestIds = new LinkedHashSet<>();

    void add(String requestId) {
        requestIds.add(requestId);
        if (requestIds.size() > MAX_CLAIMS) {
            requestIds.remove(requestIds.iterator().next());
        }
    }

    /** Forgets a request; returns whether its claim was abandoned. */
    boolean remove(String requestId) {
        return requestIds.remove(requestId);
    }
}
