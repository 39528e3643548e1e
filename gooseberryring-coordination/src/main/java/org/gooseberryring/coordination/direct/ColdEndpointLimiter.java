package org.gooseberryring.coordination.direct;

/**
 * Bounds what one host sends to a cold endpoint, so that all hosts together stay below what it bears.
 *
 * <p>Each host has an equal part of the rate. Where that is one request a second or more, a host may have one request
 * saved. Where there are more hosts than requests a second, the hosts take turns: each may send in a short time of its
 * own, and what it does not use is lost, since the saved requests of all hosts together would exceed the rate.
 */
final class ColdEndpointLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_SAVED = 1;

    /** Time for which the turn of a host lasts; turns of a second and those that last on make up the load of one second. */
    private static final long TURN_MILLIS = 300;

    private static final long NO_TURN = -1;

    private long coldSince;
    private long coldUntil;
    private double saved = MAX_SAVED;
    private long savedAt;
    private long usedTurn = NO_TURN;

    /** Notes for how long the endpoint stays cold; a shorter remaining time replaces a longer one. */
    void cold(long remainingMillis, long now) {
        if (!isCold(now)) {
            coldSince = now;
            usedTurn = NO_TURN;
        }
        coldUntil = now + remainingMillis;
    }

    boolean isCold(long now) {
        return now < coldUntil;
    }

    /** Returns whether a request may be sent now; a rate of 0 means that the endpoint bears any load. */
    boolean open(double ratePerSecond, FleetShare share, long now) {
        if (!isCold(now) || ratePerSecond <= 0) {
            return true;
        }
        if (share.hosts() <= ratePerSecond) {
            return saved(ratePerSecond, share.hosts(), now) >= 1;
        }
        long turn = turn(ratePerSecond, share, now);
        return turn != NO_TURN && turn != usedTurn;
    }

    /** Counts a request that is sent. */
    void sent(double ratePerSecond, FleetShare share, long now) {
        if (!isCold(now) || ratePerSecond <= 0) {
            return;
        }
        saved = saved(ratePerSecond, share.hosts(), now) - 1;
        savedAt = now;
        usedTurn = turn(ratePerSecond, share, now);
    }

    /** Returns the number of the turn that this host has now, if it has one. */
    private long turn(double ratePerSecond, FleetShare share, long now) {
        double periodMillis = share.hosts() * MILLIS_PER_SECOND / ratePerSecond;
        double sinceFirst = now - coldSince - periodMillis * share.rank() / share.hosts();
        if (sinceFirst < 0) {
            return NO_TURN;
        }
        long turn = (long) (sinceFirst / periodMillis);
        return sinceFirst - turn * periodMillis <= TURN_MILLIS ? turn : NO_TURN;
    }

    private double saved(double ratePerSecond, int hosts, long now) {
        return Math.min(MAX_SAVED, saved + (now - savedAt) * ratePerSecond / hosts / MILLIS_PER_SECOND);
    }
}
