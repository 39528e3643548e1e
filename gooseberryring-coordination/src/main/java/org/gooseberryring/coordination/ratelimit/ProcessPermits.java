package org.gooseberryring.coordination.ratelimit;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.gooseberryring.state.EndpointProcess;

/** Permits of this host for one limited process. */
final class ProcessPermits {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Time for which a permit may be used, so that permits are not saved up on many hosts. */
    private static final long VALID_MILLIS = 300;

    /** Time within which an issuer responds; a request with another endpoint to go to does not wait for longer. */
    private static final long RESPONSE_MILLIS = 50;

    /** Interval at which a request is repeated while permits are awaited; a new issuer learns of it in this way. */
    private static final long REPEAT_MILLIS = 200;

    /** Age of the newest request above which a grant is ignored; it was held up on its way. */
    private static final long MAX_GRANT_AGE_MILLIS = 600;

    /** Number of requests after which the response to an earlier one is ignored, for the same reason. */
    private static final int MAX_GRANT_LAG = 3;

    private static final int MAX_WANTED = 64;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EndpointProcess process;
    private final PermitPurpose purpose;
    private final Map<String, Long> waiters = new LinkedHashMap<>();
    private RateLimit limit = RateLimit.NONE;
    private int permits;
    private long validUntil = NEVER;
    private long number;
    private int outstanding;
    private long requestedAt = NEVER;
    private long unansweredSince = NEVER;
    private long nextAt = NEVER;
    private long intervalMillis;

    ProcessPermits(EndpointProcess process, PermitPurpose purpose) {
        this.process = process;
        this.purpose = purpose;
    }

    void setLimit(RateLimit newLimit) {
        limit = newLimit;
        intervalMillis = Math.max(intervalMillis, (long) (MILLIS_PER_SECOND / limit.permitsPerSecond()));
    }

    boolean isAvailable(long now) {
        return permits > 0 && now < validUntil;
    }

    boolean isExpected(long now) {
        if (now < nextAt) {
            return false;
        }
        return outstanding == 0 || now - Math.max(nextAt, unansweredSince) < RESPONSE_MILLIS;
    }

    long millisToPermit(String requestId, long now) {
        int position = 0;
        for (String waiter : waiters.keySet()) {
            if (waiter.equals(requestId)) {
                break;
            }
            position++;
        }
        return Math.max(0, nextAt - now) + position * intervalMillis;
    }

    void await(String requestId, long until) {
        waiters.put(requestId, until);
    }

    void forget(String requestId) {
        waiters.remove(requestId);
    }

    void use(long now) {
        permits = isAvailable(now) ? permits - 1 : 0;
    }

    void onGrant(PermitGrant grant, long now) {
        boolean late = now - requestedAt > MAX_GRANT_AGE_MILLIS || grant.number() < number - MAX_GRANT_LAG;
        if (late) {
            return;
        }
        permits = (isAvailable(now) ? permits : 0) + grant.permits();
        validUntil = now + VALID_MILLIS;
        outstanding = Math.max(0, outstanding - grant.permits());
        unansweredSince = NEVER;
        nextAt = now + grant.waitMillis();
        intervalMillis = grant.intervalMillis();
    }

    /** Returns the request to send to the issuer now, if one is due. */
    Optional<PermitRequest> nextRequest(long now) {
        waiters.values().removeIf(until -> until <= now);
        int wanted = Math.min(MAX_WANTED, waiters.size());
        boolean none = wanted == 0 && outstanding == 0;
        boolean known = wanted > 0 && outstanding > 0 && now - requestedAt < REPEAT_MILLIS;
        if (none || known || wanted > 0 && isAvailable(now)) {
            return Optional.empty();
        }
        number++;
        if (outstanding == 0 || unansweredSince == NEVER) {
            unansweredSince = now;
        }
        outstanding = wanted;
        requestedAt = now;
        return Optional.of(new PermitRequest(process, purpose, number, wanted, limit));
    }
}
