package org.gooseberryring.coordination.limit;

import org.gooseberryring.state.Organisation;

/** Part of one host in the token rate and burst of an organisation. */
final class SharedBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Demand is forgotten by half over this time. */
    private static final double HALF_LIFE_MILLIS = 2_000;

    /**
     * Part of the rate that counts as asked for at each host, so that a host with new callers has a share before the
     * others hear of them.
     */
    private static final double FLOOR_SHARE = 0.02;

    /** Least number of hosts that share a limit, so that a host that knows no other does not use all of it. */
    private static final int MIN_HOSTS = 8;

    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 10_000;

    private double rate;
    private double burst;
    private double share = 1.0 / MIN_HOSTS;
    private double level;
    private long filledAt;
    private double asked;
    private long askedAt;
    private boolean filled;

    SharedBucket(long now) {
        this.filledAt = now;
        this.askedAt = now;
    }

    void configured(Organisation organisation, long now) {
        fill(now);
        rate = organisation.rateTokensPerSecond();
        burst = organisation.burstTokens();
        if (!filled) {
            filled = true;
            level = burst * share;
        }
        level = Math.min(level, burst * share);
    }

    /** Takes over what is asked of the other hosts, in tokens a second. */
    void share(double othersDemand, int hosts, long now) {
        fill(now);
        double floor = FLOOR_SHARE * rate;
        double own = demand(now) + floor;
        double total = demand(now) + othersDemand + floor * Math.max(MIN_HOSTS, hosts);
        share = total <= 0 ? 1.0 / MIN_HOSTS : own / total;
        level = Math.min(level, burst * share);
    }

    /** Returns what callers ask for, in tokens a second. */
    double demand(long now) {
        double decay = Math.pow(0.5, (now - askedAt) / HALF_LIFE_MILLIS);
        return asked * decay;
    }

    /** Takes tokens; a request may take more than there are, which the next ones wait for. */
    boolean take(long tokens, long now) {
        fill(now);
        asked = demand(now) + tokens * MILLIS_PER_SECOND * Math.log(2) / HALF_LIFE_MILLIS;
        askedAt = now;
        if (level <= 0) {
            return false;
        }
        level -= tokens;
        return true;
    }

    void giveBack(long tokens, long now) {
        fill(now);
        level = Math.min(burst * share, level + tokens);
    }

    /** Returns milliseconds until a request can be admitted again. */
    long millisToNext(long now) {
        fill(now);
        double millis = -level / Math.max(1, rate * share) * MILLIS_PER_SECOND;
        return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, (long) millis));
    }

    private void fill(long now) {
        level = Math.min(burst * share, level + (now - filledAt) * rate * share / MILLIS_PER_SECOND);
        filledAt = now;
    }
}
