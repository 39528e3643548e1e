package org.gooseberryring.coordination.limit;

import java.util.function.IntUnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

class TokenWalletTest {
    /** How requests are spread over the hosts. */
    enum Spread {
        EVEN(i -> i % 7),
        SKEWED(i -> i % 10 < 7 ? 0 : i % 7),
        ONE_HOST(i -> 3);

        private final IntUnaryOperator host;

        Spread(IntUnaryOperator host) {
            this.host = host;
        }
    }

    /** Guards against refusals of requests within the rate when the tokens lie with keepers of other hosts. */
    @ParameterizedTest
    @EnumSource(Spread.class)
    void requestsWithinTheRateAreNotRefused(Spread spread) {
        LimitSimulation simulation =
                new LimitSimulation(17, LimitSettings.defaults(), LimitSimulation.Faults.NONE, 10_000, 30_000);
        simulation.run(30_000);
        double due = simulation.now();
        for (int i = 0; i < 10_000; i++) {
            long used = 50 + simulation.random().nextInt(201);
            long reserved = used + simulation.random().nextInt(201);
            // Exponential gaps at 95% of the rate in tokens used, 150 on average.
            due += -Math.log(1 - simulation.random().nextDouble()) * 150 / (10_000 * 0.95) * 1_000;
            simulation.run(Math.max(0, Math.round(due) - simulation.now()));
            simulation.hosts().get(spread.host.applyAsInt(i)).request(reserved, used, 200 + i % 1_300);
        }
        simulation.run(5_000);

        assertThat(simulation.refused()).isEqualTo(0);
        assertThat(simulation.log().size()).isEqualTo(10_000);
        assertThat(simulation.log().excess()).isAtMost(0.0);
    }

    /** Guards against a retry time that sends a caller back too early or keeps it away too long. */
    @Test
    void refusedRequestIsAdmittedAfterItsRetryTime() {
        LimitSimulation simulation =
                new LimitSimulation(18, LimitSettings.defaults(), LimitSimulation.Faults.NONE, 1_000, 6_000);
        simulation.run(30_000);
        for (int i = 0; i < 12; i++) {
            simulation.hosts().get(i % 7).request(500, 500, 10);
        }
        simulation.run(500);
        simulation.hosts().get(0).request(2_000, 2_000, 10);
        simulation.run(100);
        assertThat(simulation.refused()).isEqualTo(1);
        assertThat(simulation.lastRetryAfter()).isAtLeast(1_000);
        assertThat(simulation.lastRetryAfter()).isAtMost(2_000);

        simulation.run(simulation.lastRetryAfter());
        simulation.hosts().get(0).request(2_000, 2_000, 10);
        simulation.run(100);

        assertThat(simulation.refused()).isEqualTo(1);
    }
}
