package org.gooseberryring.coordination.direct;

/**
 * Limits the requests that one host sends to a cold endpoint, so that all hosts together stay below its rate limit.
 *
 * <p>Each host has an equal share of the rate. If that is at least one request per second, a host may save up one
 * request. If there are more hosts than requests per second, the hosts take turns: each host may send within a short
 * window, and an unused window expires, since the saved requests of all hosts together would exceed the rate.
 */
final class ColdEndpointLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_SAVED_REQUESTS = 1;

    /**
     * Duration of a turn. Turns of the current second and turns still running together make up the load of one second.
     */
    private static final long TURN_MILLIS = 300;

    private static final long NO_TURN = -1;

    private long coldSince;
    private long coldUntil;
    private double savedRequests = MAX_SAVED_REQUESTS;
    private long savedRequestsAt;
    private long lastUsedTurn = NO_TURN;

    /** Sets how long the endpoint stays cold; the newest remaining time replaces the previous one. */
    void setCold(long remainingMillis, long now) {
        if (!isCold(now)) {
            coldSince = now;
            lastUsedTurn = NO_TURN;
        }
        coldUntil = now + remainingMillis;
    }

    boolean isCold(long now) {
        return now < coldUntil;
    }

    /** Returns whether a request may be sent now; a rate of 0 means that there is no limit. */
    boolean canSend(double ratePerSecond, FleetShare share, long now) {
        if (!isCold(now) || ratePerSecond <= 0) {
            return true;
        }
        if (share.hosts() <= ratePerSecond) {
            return savedRequests(ratePerSecond, share.hosts(), now) >= 1;
        }
        long turn = turn(ratePerSecond, share, now);
        return turn != NO_TURN && turn != lastUsedTurn;
    }

    /** Counts a request that is sent. */
    void recordSent(double ratePerSecond, FleetShare share, long now) {
        if (!isCold(now) || ratePerSecond <= 0) {
            return;
        }
        savedRequests = savedRequests(ratePerSecond, share.hosts(), now) - 1;
        savedRequestsAt = now;
        lastUsedTurn = turn(ratePerSecond, share, now);
    }

    /** Returns the number of the current turn of this host, or {@code NO_TURN}. */
    private long turn(double ratePerSecond, FleetShare share, long now) {
        double periodMillis = share.hosts() * MILLIS_PER_SECOND / ratePerSecond;
        double sinceFirst = now - coldSince - periodMillis * share.rank() / share.hosts();
        if (sinceFirst < 0) {
            return NO_TURN;
        }
        long turn = (long) (sinceFirst / periodMillis);
        return sinceFirst - turn * periodMillis <= TURN_MILLIS ? turn : NO_TURN;
    }

    private double savedRequests(double ratePerSecond, int hosts, long now) {
        return Math.min(
                MAX_SAVED_REQUESTS,
                savedRequests + (now - savedRequestsAt) * ratePerSecond / hosts / MILLIS_PER_SECOND);
    }
}
