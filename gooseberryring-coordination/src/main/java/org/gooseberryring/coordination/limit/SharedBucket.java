package org.gooseberryring.coordination.limit;

import java.util.HashMap;
import java.util.Map;

import org.gooseberryring.state.Organisation;

/** Bucket of one organisation from which all hosts take. */
final class SharedBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Past use is forgotten by half over this time. */
    private static final double HALF_LIFE_MILLIS = 4_000;

    /** Part of the burst that a new host assumes to be left, since it does not know what the others have admitted. */
    private static final double START_SHARE = 0.125;

    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 10_000;

    private final Map<String, HostUse> hosts = new HashMap<>();
    private double rate;
    private double burst;
    private double level;
    private long filledAt;
    private long ownUsed;
    private double ownRecent;
    private long ownRecentAt;
    private boolean filled;

    private static final class HostUse {
        private long total;
        private double recent;
        private long recentAt;
        private double assumed;
        private long assumedTo;

        /** Assumes a use at a rate since the host was heard or the last assumption; returns its tokens. */
        private double assume(double perSecond, long heardAt, long now) {
            double more = perSecond * (now - Math.max(heardAt, assumedTo)) / MILLIS_PER_SECOND;
            assumed += more;
            assumedTo = now;
            return more;
        }
    }

    SharedBucket(long now) {
        this.filledAt = now;
        this.ownRecentAt = now;
    }

    void configured(Organisation organisation, long now) {
        fill(now);
        rate = organisation.rateTokensPerSecond();
        burst = organisation.burstTokens();
        if (!filled) {
            filled = true;
            level = burst * START_SHARE;
        }
        level = Math.min(level, burst);
    }

    long ownUsed() {
        return ownUsed;
    }

    /** Meets a host whose earlier use is not known in time. */
    void met(String host, long total, long now) {
        HostUse use = new HostUse();
        use.total = total;
        use.recentAt = now;
        use.assumedTo = now;
        hosts.put(host, use);
    }

    /** Notes that a host has used nothing more than what is known, in place of what was assumed of it. */
    void heard(String host, long now) {
        HostUse use = hosts.get(host);
        if (use != null) {
            usedBy(host, use.total, now);
        }
    }

    /** Takes over the total of another host in place of what was assumed of it. */
    void usedBy(String host, long total, long now) {
        fill(now);
        HostUse use = hosts.get(host);
        if (use == null) {
            met(host, total, now);
            return;
        }
        long delta = total - use.total;
        level = Math.min(burst, level + use.assumed - delta);
        use.total = total;
        use.recent = decayed(use.recent, use.recentAt, now) + Math.max(0, delta);
        use.recentAt = now;
        use.assumed = 0;
        use.assumedTo = now;
    }

    /**
     * Assumes that silent hosts have gone on to use their parts of the rate, each at least an equal one, all together no
     * more than the rate.
     *
     * @param silentSince time at which each of them was heard last
     */
    void assume(Map<String, Long> silentSince, int hostCount, long now) {
        double sum = ownRecent;
        for (HostUse each : hosts.values()) {
            sum += each.recent;
        }
        Map<String, Double> shares = new HashMap<>();
        double all = 0;
        for (String host : silentSince.keySet()) {
            HostUse use = hosts.get(host);
            if (use != null) {
                double share = Math.max(1.0 / hostCount, sum <= 0 ? 0 : use.recent / sum);
                shares.put(host, share);
                all += share;
            }
        }
        double part = 1 / Math.max(1, all);
        double used = 0;
        for (Map.Entry<String, Double> entry : shares.entrySet()) {
            String host = entry.getKey();
            used += hosts.get(host).assume(entry.getValue() * part * rate, silentSince.get(host), now);
        }
        // Filled and used in one step: a bucket that is filled to its burst first would lose the rate of a long step.
        level = Math.max(-burst, Math.min(burst, level + filled(now) - used));
        filledAt = now;
    }

    void forget(String host) {
        hosts.remove(host);
    }

    /** Takes tokens; a request may take more than there are, which the next ones wait for. */
    boolean take(long tokens, long now) {
        fill(now);
        if (level <= 0) {
            return false;
        }
        level -= tokens;
        ownUsed += tokens;
        ownRecent = decayed(ownRecent, ownRecentAt, now) + tokens;
        ownRecentAt = now;
        return true;
    }

    void giveBack(long tokens, long now) {
        fill(now);
        ownUsed -= tokens;
        level = Math.min(burst, level + tokens);
    }

    /** Returns milliseconds until a request can be admitted again. */
    long millisToNext(long now) {
        fill(now);
        double millis = -level / Math.max(1, rate) * MILLIS_PER_SECOND;
        return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, (long) millis));
    }

    private void fill(long now) {
        level = Math.min(burst, level + filled(now));
        filledAt = now;
    }

    private double filled(long now) {
        return (now - filledAt) * rate / MILLIS_PER_SECOND;
    }

    private static double decayed(double amount, long at, long now) {
        return amount * Math.pow(0.5, (now - at) / HALF_LIFE_MILLIS);
    }
}
