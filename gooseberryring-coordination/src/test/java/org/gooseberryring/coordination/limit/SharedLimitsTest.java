package org.gooseberryring.coordination.limit;

import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.gooseberryring.state.Organisation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class SharedLimitsTest {
    private static final long RATE = LimitHosts.RATE;
    private static final long BURST = LimitHosts.BURST;
    private static final long WINDOW_MILLIS = LimitHosts.WINDOW_MILLIS;
    private static final double OVERAGE = LimitHosts.OVERAGE;

    private static final long SLACK = 110_000;
    private static final long SMALL_SLACK = LimitHosts.SMALL_SLACK;

    /** Guards against refusals within the limit when most of the demand arrives at a few hosts. */
    @Test
    void admitsAllRequestsWithinTheLimitUnderUnevenLoad() {
        LimitHosts hosts = new LimitHosts(7, 11);
        int refused = 0;
        for (long now = 0; now < 30_000; now += 10) {
            hosts.tick(now, true);
            // 60% of the rate: a request of 6,000 tokens every 200 ms, most of them at one host.
            if (now > 3_000 && now % 200 == 0) {
                int host = now % 800 == 0 ? (int) (now / 800 % 7) : 0;
                refused += hosts.request(host, 6_000, now) ? 0 : 1;
            }
        }
        assertThat(refused).isEqualTo(0);
    }

    /**
     * Guards against a host that refuses all requests after it was paused, because it considers all other hosts silent.
     */
    @Test
    void refusesNothingWithinTheLimitAfterAStop() {
        LimitHosts hosts = new LimitHosts(7, 11);
        int refused = 0;
        for (long now = 0; now < 10_000; now += 10) {
            hosts.tick(now, true);
            if (now > 3_000 && now % 200 == 0) {
                refused += hosts.request((int) (now / 200 % 7), 6_000, now) ? 0 : 1;
            }
        }
        SharedLimits stopped = hosts.host(0);
        long woken = 13_000;

        for (int i = 0; i < 5; i++) {
            Admission admission = stopped.reserve("late" + i, "o", 2_000, woken + i);
            refused += admission.kind() == Admission.Kind.ADMITTED ? 0 : 1;
            stopped.tick(woken + i);
        }

        assertThat(refused).isEqualTo(0);
    }

    /** Guards against hosts that together admit more than the limit, also during a network partition. */
    @Property(tries = 40, seed = "4711", shrinking = ShrinkingMode.OFF)
    void staysWithinTheLimitDuringPartitions(@ForAll long seed) {
        Random random = new Random(seed);
        int count = 2 + random.nextInt(7);
        LimitHosts hosts = new LimitHosts(count, seed);
        long cutFrom = 5_000 + random.nextInt(10_000);
        long cutTo = cutFrom + random.nextInt(8_000);
        int factor = 1 + random.nextInt(8);
        for (long now = 0; now < 35_000; now += 10) {
            hosts.tick(now, now < cutFrom || now >= cutTo);
            long demand = RATE * factor / 100;
            int host = random.nextInt(count);
            long tokens = 1_000 + random.nextInt(9_000);
            if (random.nextInt((int) tokens) < demand) {
                hosts.request(host, tokens, now);
            }
        }
        assertWithMessage("most tokens in a window")
                .that((double) hosts.largestInWindow())
                .isAtMost((RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVERAGE) + SLACK);
    }

    /** Guards against refusals of requests that fit into the rate and the burst of each window. */
    @Test
    void admitsTheRateAndTheBurstInEachWindow() {
        LimitHosts hosts = new LimitHosts(9, 11);
        int demand = 0;
        int refused = 0;
        for (long now = 0; now < 40_000; now += 10) {
            hosts.tick(now, true);
            // 54,000 tokens per second: more than the rate, less than the rate plus a part of the burst.
            if (now > 10_000 && now % 50 == 0) {
                demand++;
                refused += hosts.request((int) (now / 50 % 9), 2_700, now) ? 0 : 1;
            }
        }
        assertWithMessage("refused of " + demand).that(refused).isEqualTo(0);
    }

    /**
     * Guards against hosts that all spend the same remaining tokens when the demand of an organisation is a multiple of
     * its limit.
     */
    @Property(tries = 40, seed = "5203", shrinking = ShrinkingMode.OFF)
    void staysWithinASmallToleranceUnderManyTimesTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        LimitHosts hosts = new LimitHosts(9, seed);
        for (long now = 0; now < 40_000; now += 10) {
            hosts.tick(now, true);
            boolean isSurge = now > 12_000 && now < 24_000;
            for (int i = 0; i < (isSurge ? 5 : 1); i++) {
                hosts.request(random.nextInt(9), 300 + random.nextInt(800), now);
            }
        }
        assertWithMessage("most tokens in a window")
                .that((double) hosts.largestInWindow())
                .isAtMost((RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVERAGE) + SMALL_SLACK);
    }

    /**
     * Guards against hosts that grant the full limit again after all of them were restarted. After the restart no host
     * knows the earlier usage, nor at first that other hosts exist.
     */
    @Property(tries = 40, seed = "1113", shrinking = ShrinkingMode.OFF)
    void staysWithinASmallToleranceWhenAllHostsAreRestarted(@ForAll long seed) {
        Random random = new Random(seed);
        int count = 2 + random.nextInt(9);
        LimitHosts hosts = new LimitHosts(count, seed);
        long killedAt = 13_000 + random.nextInt(4_000);
        long startedAt = killedAt + 300 + random.nextInt(1_000);
        long connectedAt = startedAt + 300 + random.nextInt(300);
        for (long now = 0; now < 40_000; now += 10) {
            if (now / 10 == startedAt / 10) {
                hosts.restart(now);
            }
            boolean up = now < killedAt || now >= startedAt;
            if (up) {
                hosts.tick(now, now < killedAt || now >= connectedAt, now >= killedAt && now < connectedAt);
            }
            boolean isSurge = now > 8_500;
            for (int i = 0; up && i < (isSurge ? 5 : 1); i++) {
                hosts.request(random.nextInt(count), 300 + random.nextInt(800), now);
            }
        }
        assertWithMessage("most tokens in a window")
                .that((double) hosts.largestInWindow())
                .isAtMost((RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVERAGE) + SMALL_SLACK);
    }

    /**
     * Guards against the same excess when the demand was low and the organisation used the complete limit in the last
     * seconds before the restart.
     */
    @Test
    void staysWithinASmallToleranceWhenAllHostsAreRestartedAfterASurge() {
        for (int seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            LimitHosts hosts = new LimitHosts(9, seed);
            for (long now = 0; now < 30_000; now += 10) {
                if (now == 14_000) {
                    hosts.restart(now);
                }
                boolean up = now < 13_000 || now >= 14_000;
                if (up) {
                    hosts.tick(now, true, now >= 14_000 && now < 14_400);
                }
                boolean isSurge = now > 9_000;
                for (int i = 0; up && i < (isSurge ? 5 : 1); i++) {
                    if (isSurge || random.nextInt(4) == 0) {
                        hosts.request(random.nextInt(9), 300 + random.nextInt(800), now);
                    }
                }
            }
            assertWithMessage("most tokens in a window, seed %s", seed)
                    .that((double) hosts.largestInWindow())
                    .isAtMost((RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVERAGE) + SMALL_SLACK);
        }
    }

    /**
     * Guards against hosts on both sides of a partition that use the same unused tokens, when the demand of an
     * organisation rises above its limit after the partition.
     */
    @Test
    void staysWithinASmallToleranceWhenASurgeFollowsAPartition() {
        for (int seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            LimitHosts hosts = new LimitHosts(9, seed);
            hosts.setPartitioned(3);
            for (long now = 0; now < 30_000; now += 10) {
                hosts.tick(now, now < 12_000 || now >= 16_000);
                boolean isSurge = now >= 13_200 && now < 20_000;
                for (int i = 0; i < (isSurge ? 5 : 1); i++) {
                    if (isSurge || now % 40 == 0) {
                        hosts.request(random.nextInt(9), 300 + random.nextInt(800), now);
                    }
                }
            }
            assertWithMessage("most tokens in a window, seed %s", seed)
                    .that((double) hosts.largestInWindow())
                    .isAtMost((RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVERAGE) + SMALL_SLACK);
        }
    }

    /**
     * Guards against many hosts that start together and each use the part of a small number of hosts, when the demand
     * rises above the limit after the restart.
     */
    @Property(tries = 5, seed = "1113", shrinking = ShrinkingMode.OFF)
    void manyHostsStayWithinASmallToleranceWhenAllAreRestarted(@ForAll long seed) {
        Random random = new Random(seed);
        int count = 60 + random.nextInt(60);
        LimitHosts hosts = new LimitHosts(count, seed);
        for (long now = 0; now < 20_000; now += 10) {
            boolean isRestarted = now >= 10_000;
            if (now == 10_000) {
                hosts.restart(now);
            }
            hosts.tick(now, true, isRestarted && now < 10_500);
            // 70% of the rate before the restart.
            for (int i = 0; isRestarted && i < 20 || i < 1 && now % 20 == 0; i++) {
                hosts.request(random.nextInt(count), 300 + random.nextInt(800), now);
            }
        }
        assertWithMessage("most tokens in a window, %s hosts", count)
                .that((double) hosts.largestInWindow())
                .isAtMost((RATE * WINDOW_MILLIS / 1_000 + BURST) * (1 + OVERAGE) + SMALL_SLACK);
    }

    /** Guards against a host that refuses an organisation within its limit immediately after the host has started. */
    @Test
    void admitsRequestsImmediatelyAfterStart() {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.configure(List.of(organisation(100_000, 100_000)), 0);
        for (int i = 0; i < 5; i++) {
            Admission admission = limits.reserve("r" + i, "o", 200, 10);
            assertWithMessage("request %s", i).that(admission.kind()).isEqualTo(Admission.Kind.ADMITTED);
        }
    }

    /** Guards against a host that divides the limits by hosts that do not exist, after it has read that it is alone. */
    @Test
    void admitsManyRequestsImmediatelyAfterTheStartOfTheOnlyHost() {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.configure(List.of(organisation(100_000, 100_000)), 0);
        limits.setHostCount(1);
        for (int i = 0; i < 50; i++) {
            Admission admission = limits.reserve("r" + i, "o", 200, 10L * i);
            assertWithMessage("request %s", i).that(admission.kind()).isEqualTo(Admission.Kind.ADMITTED);
        }
    }

    /** Guards against a host that refuses organisations within their limits for many seconds after it was restarted. */
    @Test
    void refusesFewRequestsWithinTheLimitAfterARestart() {
        LimitHosts hosts = new LimitHosts(9, 11);
        int refused = 0;
        for (long now = 0; now < 20_000; now += 10) {
            if (now == 12_000) {
                hosts.restart(now);
            }
            hosts.tick(now, true, now >= 12_000 && now < 12_400);
            // 40% of the rate in total over all hosts.
            if (now > 8_000 && now % 50 == 0) {
                refused += hosts.request((int) (now / 50 % 9), 1_000, now) ? 0 : 1;
            }
        }
        // A few requests may be refused in the first half second, before the hosts have received updates of each other.
        assertThat(refused).isAtMost(10);
    }

    /** Guards against usage that is assumed for a process that a newer process of the same host has replaced. */
    @Test
    void assumesNoUsageForReplacedProcess() {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.configure(List.of(organisation(1_000, 1_000)), 0);
        limits.onUsageReport("other", 1, Map.of("o", TokenUse.of(0)), 0);
        for (long now = 0; now <= 10_000; now += 100) {
            limits.tick(now);
            limits.onUsageReport("other", now < 5_000 ? 1 : 2, Map.of("o", TokenUse.of(0)), now);
        }
        long admitted = 0;
        for (int i = 0; i < 9; i++) {
            long now = 10_000 + i * 600L;
            limits.tick(now);
            limits.onUsageReport("other", 2, Map.of("o", TokenUse.of(0)), now);
            admitted += limits.reserve("r" + i, "o", 900, now).kind() == Admission.Kind.ADMITTED ? 900 : 0;
        }
        assertThat(admitted).isEqualTo(9 * 900L);
    }

    /** Guards against a lowered limit that is not enforced. */
    @Test
    void enforcesLoweredLimit() {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.configure(List.of(organisation(RATE, BURST)), 0);
        limits.tick(10_000);
        limits.configure(List.of(organisation(1_000, 2_000)), 10_000);
        long admitted = 0;
        for (int i = 0; i < WINDOW_MILLIS / 10; i++) {
            long now = 10_000 + i * 10L;
            admitted += limits.reserve("r" + i, "o", 500, now).kind() == Admission.Kind.ADMITTED ? 500 : 0;
        }
        assertThat(admitted).isAtMost(2_000 + WINDOW_MILLIS + 500);
    }

    /** Guards against a lowered limit that grows by the usage that was assumed for a silent host before. */
    @Test
    void enforcesLoweredLimitWhenASilentHostReturns() {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.configure(List.of(organisation(RATE, BURST)), 0);
        limits.onUsageReport("other", 1, Map.of("o", TokenUse.of(0)), 0);
        for (long now = 0; now <= 10_000; now += 100) {
            limits.tick(now);
        }
        limits.configure(List.of(organisation(1_000, 2_000)), 10_000);
        limits.onUsageReport("other", 1, Map.of("o", TokenUse.of(0)), 10_100);
        long admitted = 0;
        for (int i = 1; i < WINDOW_MILLIS / 10; i++) {
            long now = 10_100 + i * 10L;
            limits.tick(now);
            limits.onUsageReport("other", 1, Map.of("o", TokenUse.of(0)), now);
            admitted += limits.reserve("r" + i, "o", 500, now).kind() == Admission.Kind.ADMITTED ? 500 : 0;
        }
        assertThat(admitted).isAtMost(2_000 + WINDOW_MILLIS + 500);
    }

    /** Guards against tokens that are not refunded for requests that did not run. */
    @Test
    void refundsTokensOfRequestsThatDidNotRun() {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.configure(List.of(organisation(1, 8_000)), 0);
        assertThat(limits.reserve("a", "o", 5_000, 0).kind()).isEqualTo(Admission.Kind.ADMITTED);
        assertThat(limits.reserve("b", "o", 1, 0).kind()).isEqualTo(Admission.Kind.REFUSED);
        limits.settle("a", 0, 0);
        assertThat(limits.reserve("c", "o", 1, 0).kind()).isEqualTo(Admission.Kind.ADMITTED);
    }

    /** Guards against responses that state a lower usage than their requests and so raise the limit. */
    @Test
    void requestsThatRanCountWithTheTokensTheyStated() {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.configure(List.of(organisation(1, 8_000)), 0);
        long now = 2 * WINDOW_MILLIS;
        limits.tick(now);
        limits.reserve("a", "o", 9_000, now);
        limits.settle("a", 540, now);
        assertThat(limits.reserve("b", "o", 1, now + 1_000).kind()).isEqualTo(Admission.Kind.REFUSED);
    }

    /** Guards against use that does not count because an earlier process of its host had reported more. */
    @Test
    void countsTheUseOfAProcessThatWasReplacedBeforeTheConfiguration() {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.onUsageReport("other", 1, Map.of("o", TokenUse.of(50_000)), 0);
        limits.onUsageReport("other", 2, Map.of(), 10);
        limits.configure(List.of(organisation(1, 8_000)), 20);
        limits.onUsageReport("other", 2, Map.of("o", TokenUse.of(9_000)), 30);
        assertThat(limits.reserve("a", "o", 1, 40).kind()).isEqualTo(Admission.Kind.REFUSED);
    }

    /** Guards against a retry delay after which the request is still refused. */
    @Test
    void admitsRequestAfterRetryDelay() {
        SharedLimits limits = new SharedLimits(WINDOW_MILLIS);
        limits.configure(List.of(organisation(1_000, 8_000)), 0);
        limits.reserve("a", "o", 4_000, 0);
        Admission refusal = limits.reserve("b", "o", 1, 0);
        assertThat(refusal.kind()).isEqualTo(Admission.Kind.REFUSED);
        assertThat(limits.reserve("c", "o", 1, refusal.retryAfterMillis() + 1).kind())
                .isEqualTo(Admission.Kind.ADMITTED);
    }

    private static Organisation organisation(long rate, long burst) {
        return new Organisation("o", rate, burst, 1, null);
    }
}
