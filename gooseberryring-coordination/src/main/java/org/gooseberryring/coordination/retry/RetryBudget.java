package org.gooseberryring.coordination.retry;

/**
 * Limits retries during an outage to a tenth of the first attempts, so that retries do not multiply the load.
 *
 * <p>A host with little traffic has a few saved retries. In an outage of n first attempts there are at most 10 + n / 12
 * retries, which is at most a tenth from 600 first attempts on.
 */
public final class RetryBudget {
    /** Number of first attempts that earn one retry. The difference to a tenth compensates for the saved retries. */
    private static final int FIRST_ATTEMPTS_PER_RETRY = 12;

    /** Enough for the requests that are interrupted by the loss of one endpoint on a host with little traffic. */
    private static final int MAX_SAVED_RETRIES = 10;

    private static final long MAX_EARNED = (long) MAX_SAVED_RETRIES * FIRST_ATTEMPTS_PER_RETRY;

    private long earned = MAX_EARNED;

    /** Counts a first attempt. */
    public void recordFirstAttempt() {
        earned = Math.min(earned + 1, MAX_EARNED);
    }

    /** Returns whether a retry is allowed now. */
    public boolean isRetryAllowed() {
        return earned >= FIRST_ATTEMPTS_PER_RETRY;
    }

    /** Counts a retry. */
    public void recordRetry() {
        earned = Math.max(0, earned - FIRST_ATTEMPTS_PER_RETRY);
    }
}
