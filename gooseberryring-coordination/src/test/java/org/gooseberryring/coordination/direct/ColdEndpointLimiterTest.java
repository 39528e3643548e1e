package org.gooseberryring.coordination.direct;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertWithMessage;

class ColdEndpointLimiterTest {
    private static final double RATE = 21;

    /**
     * Requests per second that a cold endpoint tolerates according to the platform: a multiple of the rate plus a
     * constant.
     */
    private static final double BOUND = RATE * 1.5 + 5;

    private static final long COLD_MILLIS = 10_000;

    /** Guards against hosts that together exceed the rate limit of a cold endpoint, also after an idle time. */
    @ParameterizedTest
    @ValueSource(ints = {7, 9, 22, 95, 300})
    void allHostsTogetherStayBelowRateLimit(int hosts) {
        for (long quietMillis : new long[] {0, 2_500}) {
            List<ColdEndpointLimiter> limiters = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                ColdEndpointLimiter limiter = new ColdEndpointLimiter();
                // The hosts receive the cold state within a few hundred milliseconds.
                limiter.setCold(COLD_MILLIS, i * 37 % 200);
                limiters.add(limiter);
            }
            Deque<Long> second = new ArrayDeque<>();
            int sent = 0;
            for (long now = 200; now < COLD_MILLIS; now += 10) {
                for (int i = 0; i < hosts && now >= quietMillis; i++) {
                    FleetShare share = new FleetShare(i, hosts);
                    if (limiters.get(i).canSend(RATE, share, now)) {
                        limiters.get(i).recordSent(RATE, share, now);
                        second.add(now);
                        sent++;
                    }
                }
                while (!second.isEmpty() && second.peek() <= now - 1_000) {
                    second.poll();
                }
                assertWithMessage("requests in one second")
                        .that((double) second.size())
                        .isAtMost(BOUND);
            }
            double seconds = (COLD_MILLIS - Math.max(200, quietMillis)) / 1_000.0;
            assertWithMessage("total requests").that((double) sent).isAtLeast(0.7 * RATE * seconds);
        }
    }
}
