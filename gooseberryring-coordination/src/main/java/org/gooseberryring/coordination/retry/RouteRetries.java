package org.gooseberryring.coordination.retry;

import java.util.HashMap;
import java.util.Map;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestPolicy;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.state.Verdict;

/** Retry policy that follows the routes of the requests, with a budget per service that all hosts share. */
public final class RouteRetries implements Retries {
    private final Map<String, ServiceRetryBudget> budgets = new HashMap<>();
    private RetryAllowance allowance;
    private int hostCount = 1;

    public RouteRetries(RetryAllowance allowance) {
        this.allowance = allowance;
    }

    /** Sets the allowance. The current counts are cleared if the window length changes. */
    public void setAllowance(RetryAllowance changed) {
        if (!changed.equals(allowance)) {
            allowance = changed;
            budgets.values().forEach(budget -> budget.setAllowance(changed));
        }
    }

    /** Sets the number of hosts, including this host. */
    public void setHostCount(int count) {
        hostCount = Math.max(1, count);
    }

    @Override
    public void firstAttempt(RequestSpec spec, long now) {
        budget(spec).firstAttempt(now);
    }

    @Override
    public boolean retry(RequestSpec spec, AttemptOutcome outcome, boolean bytesReachedCaller, int sends, long now) {
        RequestPolicy handling = spec.handling();
        boolean open = now < spec.deadline() && sends < handling.maxSends();
        if (!open || bytesReachedCaller && !handling.resumable() || !isSafeToRepeat(spec, outcome.verdict())) {
            return false;
        }
        // An attempt that was not sent has not added load to the service.
        return !outcome.sent() || budget(spec).tryTake(hostCount, now);
    }

    private static boolean isSafeToRepeat(RequestSpec spec, Verdict verdict) {
        return switch (verdict) {
            case NOT_RUN -> spec.idempotent() || spec.handling().retriesNotRun();
            case MAY_HAVE_RUN -> spec.idempotent();
            default -> false;
        };
    }

    private ServiceRetryBudget budget(RequestSpec spec) {
        return budgets.computeIfAbsent(spec.handling().service(), service -> new ServiceRetryBudget(allowance));
    }
}
