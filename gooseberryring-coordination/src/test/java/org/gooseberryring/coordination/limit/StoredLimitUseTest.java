package org.gooseberryring.coordination.limit;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class StoredLimitUseTest {
    private static final double LIMIT = LimitHosts.RATE * LimitHosts.WINDOW_MILLIS / 1_000.0 + LimitHosts.BURST;

    /** Time after their start in which hosts have not heard each other. */
    private static final long UNHEARD_MILLIS = 400;

    /** Requests in each step of 10 ms while the demand is several times the rate. */
    private static final double SURGE = 5;

    /** Guards against the same excess when the hosts are killed at any time of the surge, and again soon after. */
    @Test
    void staysWithinASmallToleranceWhenAllHostsAreRestartedAtAnyTimeOfASurge() {
        for (int seed = 1; seed <= 60; seed++) {
            LimitHosts hosts = playTwoRestarts(seed);
            assertWithMessage("most tokens in a window, seed %s", seed)
                    .that((double) hosts.largestInWindow())
                    .isAtMost(LIMIT * (1 + LimitHosts.OVERAGE) + LimitHosts.SMALL_SLACK);
        }
    }

    /** Guards against a host that grants less than the limit for longer than a window because of an earlier surge. */
    @Test
    void refusesNothingWithinTheLimitAWindowAfterARestart() {
        LimitHosts hosts = new LimitHosts(9, 11);
        int refused = 0;
        for (long now = 0; now < 40_000; now += 10) {
            if (now == 14_000) {
                hosts.restart(now);
            }
            hosts.tick(now, true, now >= 14_000 && now < 14_400);
            if (now > 9_000 && now < 14_000) {
                hosts.request((int) (now / 10 % 9), 4_000, now);
            } else if (now >= 22_500 && now % 50 == 0) {
                refused += hosts.request((int) (now / 50 % 9), 2_400, now) ? 0 : 1;
            }
        }
        assertThat(refused).isEqualTo(0);
    }

    /** Guards against many calls to the store while the demand of an organisation varies around its limit. */
    @Test
    void surgesCauseFewWrites() {
        LimitHosts hosts = new LimitHosts(9, 11);
        for (long now = 0; now < 120_000; now += 10) {
            hosts.tick(now, true);
            // Within the rate for 20 s, then eight times the rate for 20 s.
            boolean isSurge = now / 20_000 % 2 == 1;
            if (isSurge || now % 100 == 0) {
                hosts.request((int) (now / 10 % 9), 4_000, now);
            }
        }

        assertThat(hosts.storeWrites()).isAtLeast(1);
        assertThat(hosts.storeWrites()).isAtMost(3 * 10);
    }

    /** Plays a surge of several times the rate during which all hosts are killed and started twice. */
    private static LimitHosts playTwoRestarts(int seed) {
        Random random = new Random(seed);
        LimitHosts hosts = new LimitHosts(9, seed);
        playDemand(hosts, random, 0, 9_000, 0, 0.25);
        long killedAt = 10_000 + 100L * seed;
        playDemand(hosts, random, 9_000, killedAt, 0, SURGE);
        long startedAt = killedAt + 300 + random.nextInt(150) * 10L;
        hosts.restart(startedAt);
        long startedAgainAt = startedAt + 1_000 + random.nextInt(600) * 10L;
        playDemand(hosts, random, startedAt, startedAgainAt, UNHEARD_MILLIS, SURGE);
        hosts.restart(startedAgainAt);
        playDemand(hosts, random, startedAgainAt, 40_000, UNHEARD_MILLIS, SURGE);
        return hosts;
    }

    /** Plays requests; the hosts do not hear each other for the first milliseconds. */
    private static void playDemand(
            LimitHosts hosts, Random random, long from, long to, long unheardMillis, double requestsPerStep) {
        for (long now = from; now < to; now += 10) {
            hosts.tick(now, true, now < from + unheardMillis);
            int count = (int) requestsPerStep + (random.nextDouble() < requestsPerStep % 1 ? 1 : 0);
            for (int i = 0; i < count; i++) {
                hosts.request(random.nextInt(9), 300 + random.nextInt(800), now);
            }
        }
    }
}
