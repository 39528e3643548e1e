package org.gooseberryring.coordination.retry;

/** Limits retries to a tenth of the first attempts, so that an outage does not multiply the load. */
public final class RetryBudget {
    /** A first attempt earns this part of a retry. */
    private static final int FIRST_ATTEMPTS_PER_RETRY = 10;

    /** Retries saved up in quiet times; more would come as a burst at the start of an outage. */
    private static final int MAX_SAVED_RETRIES = 20;

    private long earned;

    /** Counts a first attempt. */
    public void firstAttempt() {
        earned = Math.min(earned + 1, (long) MAX_SAVED_RETRIES * FIRST_ATTEMPTS_PER_RETRY);
    }

    /** Returns whether a retry is allowed now. */
    public boolean allows() {
        return earned >= FIRST_ATTEMPTS_PER_RETRY;
    }

    /** Counts a retry. */
    public void retried() {
        earned = Math.max(0, earned - FIRST_ATTEMPTS_PER_RETRY);
    }
}
