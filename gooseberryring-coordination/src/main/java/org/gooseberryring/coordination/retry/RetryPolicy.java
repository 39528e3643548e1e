package org.gooseberryring.coordination.retry;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.state.Verdict;

/** Decides whether a failed attempt is retried. */
public final class RetryPolicy implements Retries {
    /** More attempts only add load. If three endpoints fail, the cause is probably the request or the fleet. */
    private static final int MAX_ATTEMPTS = 3;

    private final RetryBudget budget;

    public RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /** Counts a first attempt, which earns a fraction of a retry. */
    public void firstAttempt() {
        budget.recordFirstAttempt();
    }

    @Override
    public void firstAttempt(RequestSpec spec, long now) {
        firstAttempt();
    }

    @Override
    public boolean retry(RequestSpec spec, AttemptOutcome outcome, boolean bytesReachedCaller, int sends, long now) {
        return retry(outcome.verdict(), spec.idempotent(), bytesReachedCaller, sends, spec.deadline(), now);
    }

    /**
     * Decides whether the request is retried, and charges the budget for an allowed retry.
     *
     * <p>A non-idempotent request is never sent twice, even if the verdict is NOT_RUN, so that an incorrect verdict of
     * an endpoint cannot cause a second run.
     *
     * @param verdict verdict on the attempt that ended
     * @param idempotent whether the request may run more than once
     * @param bytesReachedCaller whether a byte of a response was sent to the caller
     * @param attempts attempts sent so far
     * @param deadline monotonic time in milliseconds after which the response is no longer useful
     * @param now monotonic time in milliseconds
     */
    public boolean retry(
            Verdict verdict, boolean idempotent, boolean bytesReachedCaller, int attempts, long deadline, long now) {
        boolean allowed = verdict != Verdict.COMPLETED
                && idempotent
                && !bytesReachedCaller
                && attempts < MAX_ATTEMPTS
                && now < deadline
                && budget.isRetryAllowed();
        if (allowed) {
            budget.recordRetry();
        }
        return allowed;
    }
}
