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
    private static final int SPANS = 20;

    /**
     * Minimum number of hosts that share the additional retries, so that a host that knows no other host does not use
     * all of them.
     */
    private static final int MIN_SHARES = 8;

    /** Fraction of the allowance that is used. The rest covers retries that are counted later than they are sent. */
    private static final double USED_SHARE = 0.9;

    private final int[] firsts = new int[SPANS + 1];
    private final int[] retries = new int[SPANS + 1];
    private RetryAllowance allowance;
    private long spanMillis;
    private long span = Long.MIN_VALUE;

    ServiceRetryBudget(RetryAllowance allowance) {
        allowance(allowance);
    }

    void allowance(RetryAllowance changed) {
        long changedSpan = Math.max(1, changed.windowMillis() / SPANS);
        if (changedSpan != spanMillis) {
            Arrays.fill(firsts, 0);
            Arrays.fill(retries, 0);
            span = Long.MIN_VALUE;
        }
        allowance = changed;
        spanMillis = changedSpan;
    }

    void firstAttempt(long now) {
        advance(now);
        firsts[index(span)]++;
    }

    /** Takes a retry; returns false if the allowance of the window is used up. */
    boolean take(int hosts, long now) {
        advance(now);
        int shares = Math.max(MIN_SHARES, hosts);
        double allowed = USED_SHARE * (allowance.ratio() * sum(firsts) + (double) allowance.extra() / shares);
        if (sum(retries) + 1 > allowed) {
            return false;
        }
        retries[index(span)]++;
        return true;
    }

    private void advance(long now) {
        long current = now / spanMillis;
        if (span == Long.MIN_VALUE) {
            span = current;
        }
        for (int i = 0; span < current && i <= SPANS; i++) {
            span++;
            firsts[index(span)] = 0;
            retries[index(span)] = 0;
        }
        span = Math.max(span, current);
    }

    private static int index(long ofSpan) {
        return Math.floorMod(ofSpan, SPANS + 1);
    }

    private static int sum(int[] counts) {
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum;
    }
}
