package org.gooseberryring.coordination.retry;

import java.util.Arrays;

/**
 * Share of one host in the retries that a service accepts.
 *
 * <p>A host may use the allowed ratio of its own requests and an equal share of the additional retries. Attempts are
 * counted in short intervals. The oldest interval counts in full, so that no window of the given length exceeds the
 * allowance.
 */
final class ServiceRetryBudget {
    private static final int INTERVALS = 20;

    /**
     * Minimum number of hosts that share the additional retries, so that a host that knows no other host does not use
     * all of them.
     */
    private static final int MIN_HOSTS = 8;

    /** Fraction of the allowance that is used. The rest covers retries that are counted later than they are sent. */
    private static final double USED_SHARE = 0.9;

    private final int[] firstAttempts = new int[INTERVALS + 1];
    private final int[] retries = new int[INTERVALS + 1];
    private RetryAllowance allowance;
    private long intervalMillis;
    private long interval = Long.MIN_VALUE;

    ServiceRetryBudget(RetryAllowance allowance) {
        setAllowance(allowance);
    }

    void setAllowance(RetryAllowance changed) {
        long changedIntervalMillis = Math.max(1, changed.windowMillis() / INTERVALS);
        if (changedIntervalMillis != intervalMillis) {
            Arrays.fill(firstAttempts, 0);
            Arrays.fill(retries, 0);
            interval = Long.MIN_VALUE;
        }
        allowance = changed;
        intervalMillis = changedIntervalMillis;
    }

    void firstAttempt(long now) {
        advance(now);
        firstAttempts[index(interval)]++;
    }

    /** Takes a retry; returns false if the allowance of the window is used up. */
    boolean tryTake(int hostCount, long now) {
        advance(now);
        int shares = Math.max(MIN_HOSTS, hostCount);
        double allowed = USED_SHARE * (allowance.ratio() * sum(firstAttempts) + (double) allowance.extra() / shares);
        if (sum(retries) + 1 > allowed) {
            return false;
        }
        retries[index(interval)]++;
        return true;
    }

    private void advance(long now) {
        long current = now / intervalMillis;
        if (interval == Long.MIN_VALUE) {
            interval = current;
        }
        for (int i = 0; interval < current && i <= INTERVALS; i++) {
            interval++;
            firstAttempts[index(interval)] = 0;
            retries[index(interval)] = 0;
        }
        interval = Math.max(interval, current);
    }

    private static int index(long ofInterval) {
        return Math.floorMod(ofInterval, INTERVALS + 1);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
