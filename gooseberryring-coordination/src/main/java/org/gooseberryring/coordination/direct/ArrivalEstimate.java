package org.gooseberryring.coordination.direct;

import java.util.HashMap;
import java.util.Map;

import org.gooseberryring.coordination.request.RequestedArtifact;

/** Estimates when a missing artifact will be loaded, from the time at which it was first requested. */
final class ArrivalEstimate {
    /** Expected remaining time of a load that is overdue. */
    private static final long OVERDUE_MILLIS = 500;

    /** If no request for an artifact arrives for this time, the next one starts a new estimate. */
    private static final long RESET_AFTER_MILLIS = 10_000;

    private final Map<RequestedArtifact, Missing> missing = new HashMap<>();

    private record Missing(long missingSince, long lastRequestedAt) {}

    /** Returns the milliseconds until the artifact is expected, given the duration of its load. */
    long millisToArrival(RequestedArtifact target, long loadMillis, long now) {
        Missing known = missing.get(target);
        boolean isFirst = known == null || now - known.lastRequestedAt() > RESET_AFTER_MILLIS;
        long missingSince = isFirst ? now : known.missingSince();
        missing.put(target, new Missing(missingSince, now));
        return Math.max(Math.min(loadMillis, OVERDUE_MILLIS), missingSince + loadMillis - now);
    }

    /** Clears the estimate after an endpoint has loaded the artifact. */
    void onLoaded(RequestedArtifact target) {
        missing.remove(target);
    }
}
