package org.gooseberryring.coordination.retry;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.state.Verdict;

/** Decides whether a failed attempt is followed by another one. */
public final class RetryPolicy implements Retries {
    /** More attempts than this only add load; a third endpoint that fails points at the request or the fleet. */
    private static final int MAX_ATTEMPTS = 3;

    private final RetryBudget budget;

    public RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /** Counts a first attempt, which earns a part of a retry. */
    public void firstAttempt() {
        budget.firstAttempt();
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
     * Decides on a retry and takes it from the budget if it is allowed.
     *
     * <p>A non-idempotent request is never sent twice, even if the verdict is NOT_RUN, so that a wrong verdict of one
     * endpoint cannot repeat it.
     *
     * @param verdict verdict on the attempt that ended
     * @param idempotent whether the request may run more than once
     * @param bytesReachedCaller whether a byte of an answer went to the caller
     * @param attempts attempts sent so far
     * @param deadline time in milliseconds after which the answer is of no use
     * @param now monotonic time in milliseconds
     */
    public boolean retry(
            Verdict verdict, boolean idempotent, boolean bytesReachedCaller, int attempts, long deadline, long now) {
        boolean allowed = verdict != Verdict.COMPLETED
                && idempotent
                && !bytesReachedCaller
                && attempts < MAX_ATTEMPTS
                && now < deadline
                && budget.allows();
        if (allowed) {
            budget.retried();
        }
        return allowed;
    }
}
