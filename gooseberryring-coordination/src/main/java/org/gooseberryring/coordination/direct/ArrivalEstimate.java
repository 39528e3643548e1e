package org.gooseberryring.coordination.direct;

import java.util.HashMap;
import java.util.Map;

import org.gooseberryring.coordination.request.RequestTarget;

/** Estimates when an artifact that no endpoint holds will be loaded, from the time at which it was first missed. */
final class ArrivalEstimate {
    /** Time by which a load that is overdue is expected next. */
    private static final long OVERDUE_MILLIS = 500;

    /** An artifact that was not asked for in this time is taken to be missed anew. */
    private static final long FORGET_MILLIS = 10_000;

    private final Map<RequestTarget.RoutedTarget, Missing> missing = new HashMap<>();

    private record Missing(long since, long lastAsked) {}

    /** Returns the milliseconds after which the artifact is expected, given the time that its load takes. */
    long millisToArrival(RequestTarget.RoutedTarget target, long loadMillis, long now) {
        Missing known = missing.get(target);
        boolean anew = known == null || now - known.lastAsked() > FORGET_MILLIS;
        long since = anew ? now : known.since();
        missing.put(target, new Missing(since, now));
        return Math.max(Math.min(loadMillis, OVERDUE_MILLIS), since + loadMillis - now);
    }

    /** Notes that an endpoint holds the artifact. */
    void arrived(RequestTarget.RoutedTarget target) {
        missing.remove(target);
    }
}
