package org.gooseberryring.coordination.retry;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gooseberryring.state.Verdict;

import static com.google.common.truth.Truth.assertThat;

class RetryBudgetTest {
    /** Guards against retries that multiply the load during a complete outage, when every attempt fails. */
    @Property(tries = 100, seed = "7304")
    void retriesAreAtMostATenthOfFirstAttempts(@ForAll @IntRange(min = 1, max = 20_000) int requests) {
        RetryPolicy policy = new RetryPolicy(new RetryBudget());
        int retries = 0;
        for (int i = 0; i < requests; i++) {
            policy.firstAttempt();
            int attempts = 1;
            while (policy.retry(Verdict.NOT_RUN, true, false, attempts, Long.MAX_VALUE, i)) {
                attempts++;
                retries++;
            }
        }

        assertThat(retries).isAtMost(10 + requests / 12);
        if (requests >= 600) {
            assertThat(retries).isAtMost(requests / 10);
        }
        assertThat(retries).isAtLeast(Math.min(requests, 10));
    }
}
