package org.gooseberryring.coordination.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestPolicy;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.PromptShape;
import org.gooseberryring.state.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RouteRetriesTest {
    private static final RetryAllowance ALLOWANCE = new RetryAllowance(10_000, 0.2, 54);
    private static final long DEADLINE = 1_000_000;

    /** Guards against hosts that together retry more often than the service allows in any window. */
    @Test
    void allHostsTogetherStayWithinTheAllowance() {
        List<RouteRetries> hosts = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            hosts.add(new RouteRetries(ALLOWANCE));
        }
        Deque<Long> retries = new ArrayDeque<>();
        Deque<Long> firsts = new ArrayDeque<>();
        RequestSpec spec = spec(true, 100, false);
        for (long now = 0; now < 60_000; now += 7) {
            RouteRetries host = hosts.get((int) (now / 7 % 7));
            if (now % 35 == 0) {
                host.firstAttempt(spec, now);
                firsts.add(now);
            }
            // Every attempt fails, so that all allowed retries are made.
            if (host.retry(spec, outcome(Verdict.MAY_HAVE_RUN, true), false, 1, now)) {
                retries.add(now);
            }
            removeUpTo(retries, now - 10_000);
            removeUpTo(firsts, now - 10_000);
            assertThat((double) retries.size()).isAtMost(0.2 * firsts.size() + 54);
        }
    }

    /** Guards against a second run of a request that may run only once. */
    @Test
    void retriesRequestsThatMayHaveRunOnlyIfIdempotent() {
        RouteRetries retries = new RouteRetries(ALLOWANCE);
        RequestSpec once = spec(false, 2, false);
        assertThat(retries.retry(once, outcome(Verdict.MAY_HAVE_RUN, true), false, 1, 0))
                .isFalse();
        assertThat(retries.retry(once, outcome(Verdict.NOT_RUN, true), false, 1, 0))
                .isTrue();
        assertThat(retries.retry(spec(true, 2, false), outcome(Verdict.MAY_HAVE_RUN, true), false, 1, 0))
                .isTrue();
    }

    /** Guards against more sends than the route allows. */
    @Test
    void stopsAfterMaxSendsOfTheRoute() {
        RouteRetries retries = new RouteRetries(ALLOWANCE);
        assertThat(retries.retry(spec(true, 2, false), outcome(Verdict.NOT_RUN, true), false, 2, 0))
                .isFalse();
    }

    /** Guards against a budget that is used up by attempts that were never sent. */
    @Test
    void attemptsThatWereNotSentDoNotUseTheBudget() {
        RouteRetries retries = new RouteRetries(ALLOWANCE);
        for (int i = 0; i < 200; i++) {
            assertThat(retries.retry(spec(true, 2, false), outcome(Verdict.NOT_RUN, false), false, 0, 0))
                    .isTrue();
        }
    }

    /**
     * Guards against a response that combines parts of two runs when the stream cannot be resumed at another endpoint.
     */
    @Test
    void startedResponsesAreRetriedOnlyIfResumable() {
        RouteRetries retries = new RouteRetries(ALLOWANCE);
        assertThat(retries.retry(spec(true, 2, false), outcome(Verdict.MAY_HAVE_RUN, true), true, 1, 0))
                .isFalse();
        assertThat(retries.retry(spec(true, 2, true), outcome(Verdict.MAY_HAVE_RUN, true), true, 1, 0))
                .isTrue();
    }

    private static void removeUpTo(Deque<Long> times, long before) {
        while (!times.isEmpty() && times.peek() <= before) {
            times.remove();
        }
    }

    private static AttemptOutcome outcome(Verdict verdict, boolean sent) {
        return new AttemptOutcome(verdict, 0, 0, false, false, -1, sent, 0);
    }

    private static RequestSpec spec(boolean idempotent, int maxSends, boolean resumable) {
        RequestPolicy handling =
                new RequestPolicy("s", maxSends, true, resumable, true, true, 0, DEADLINE, DEADLINE, PromptShape.NONE);
        return new RequestSpec(
                "r",
                "o",
                new RequestTarget.RoutedTarget("s", null, null),
                PriorityClass.NORMAL,
                0,
                0,
                "d",
                idempotent,
                null,
                DEADLINE,
                handling);
    }
}
