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

    /** What a cold endpoint bears in a second, as the platform states it: a multiple of the rate and a fixed number. */
    private static final double BOUND = RATE * 1.5 + 5;

    private static final long COLD_MILLIS = 10_000;

    /** Guards against many hosts that send more to a cold endpoint together than it bears, also after a time without work. */
    @ParameterizedTest
    @ValueSource(ints = {7, 9, 22, 95, 300})
    void allHostsTogetherStayBelowWhatTheEndpointBears(int hosts) {
        for (long quietMillis : new long[] {0, 2_500}) {
            List<ColdEndpointLimiter> gates = new ArrayList<>();
            for (int i = 0; i < hosts; i++) {
                ColdEndpointLimiter gate = new ColdEndpointLimiter();
                // The hosts hear of it within a few hundred milliseconds.
                gate.cold(COLD_MILLIS, i * 37 % 200);
                gates.add(gate);
            }
            Deque<Long> second = new ArrayDeque<>();
            int sent = 0;
            for (long now = 200; now < COLD_MILLIS; now += 10) {
                for (int i = 0; i < hosts && now >= quietMillis; i++) {
                    FleetShare share = new FleetShare(i, hosts);
                    if (gates.get(i).open(RATE, share, now)) {
                        gates.get(i).sent(RATE, share, now);
                        second.add(now);
                        sent++;
                    }
                }
                while (!second.isEmpty() && second.peek() <= now - 1_000) {
                    second.poll();
                }
                assertWithMessage("requests in a second")
                        .that((double) second.size())
                        .isAtMost(BOUND);
            }
            double seconds = (COLD_MILLIS - Math.max(200, quietMillis)) / 1_000.0;
            assertWithMessage("requests in all").that((double) sent).isAtLeast(0.7 * RATE * seconds);
        }
    }
}
