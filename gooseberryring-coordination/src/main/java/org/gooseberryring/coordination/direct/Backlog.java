package org.gooseberryring.coordination.direct;

import java.util.List;

import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteQuery;

/** Decides whether a request waits for endpoints without free capacity. */
final class Backlog {
    /** Time for which a request may always wait. */
    static final long MIN_WAIT_MILLIS = 200;

    /** A request is rejected at once if it would start later than this multiple of the time to its objective. */
    private static final long MAX_START_DELAY_FACTOR = 2;

    private Backlog() {}

    /**
     * Lets a request wait for free capacity. Rejects it if it has missed its objective, if the backlog would start it
     * far too late, or if all endpoints stay in back-off past the time by which it must start.
     */
    static RouteChoice waitOrReject(List<DirectEndpoint> holders, RouteQuery query, long now) {
        long earliestStartMillis = Long.MAX_VALUE;
        long minBackOffMillis = Long.MAX_VALUE;
        for (DirectEndpoint endpoint : holders) {
            earliestStartMillis = Math.min(earliestStartMillis, endpoint.millisToStart(query));
            minBackOffMillis = Math.min(minBackOffMillis, endpoint.backOffMillis(now));
        }
        if (minBackOffMillis > 0 && now + minBackOffMillis > query.startBy()) {
            return RouteChoice.unreachable(RouteChoice.Cause.BACK_OFF, minBackOffMillis);
        }
        long maxWaitMillis = MAX_START_DELAY_FACTOR * Math.max(query.objective() - now, 0) + MIN_WAIT_MILLIS;
        boolean isLate = now > query.objective() + MIN_WAIT_MILLIS;
        boolean cannotMeetDeadline =
                query.prompt().inputTokens() > 0 && (isLate || earliestStartMillis > maxWaitMillis);
        return cannotMeetDeadline
                ? RouteChoice.unreachable(RouteChoice.Cause.BUSY, Math.max(earliestStartMillis, MIN_WAIT_MILLIS))
                : RouteChoice.WAIT;
    }
}
