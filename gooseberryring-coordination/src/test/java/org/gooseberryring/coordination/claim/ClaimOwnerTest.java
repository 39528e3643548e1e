package org.gooseberryring.coordination.claim;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ClaimOwnerTest {
    /**
     * Guards against a second dispatch of a key whose request may have run. Owners are paused and replaced, hosts have
     * different views of the live hosts, processes are restarted, the store is down or loses replies, messages are
     * lost, delayed or repeated, and callers retry through other hosts. The simulation checks each grant.
     */
    @Property(tries = 40, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void keyIsDispatchedAtMostOnce(@ForAll long seed) {
        ClaimSimulation simulation = new ClaimSimulation(seed, 0.05);
        Random random = simulation.random();
        for (int i = 0; i < 1_500; i++) {
            simulation.run(random.nextInt(40));
            simulation.hosts().get(random.nextInt(3)).claim("key-" + (i / 30 + random.nextInt(4)));
            if (random.nextInt(40) == 0) {
                injectFault(simulation, random);
            }
        }
        int granted = simulation.resultCounts().getOrDefault(ClaimResult.Decision.GRANTED, 0);
        assertThat(granted).isAtLeast(5);

        simulation.endFaults();
        simulation.run(10_000);
        granted = simulation.resultCounts().getOrDefault(ClaimResult.Decision.GRANTED, 0);
        for (int i = 0; i < 5; i++) {
            simulation.hosts().get(i % 3).claim("after-" + i);
        }
        simulation.run(1_000);
        assertThat(simulation.resultCounts().get(ClaimResult.Decision.GRANTED)).isEqualTo(granted + 5);
    }

    /** Guards against claims that remain although their request certainly did not run, and against lost responses. */
    @Test
    void releasedKeyCanBeClaimedAgain() {
        ClaimSimulation simulation = new ClaimSimulation(3, 0);
        simulation.run(1_000);
        for (int i = 0; i < 200; i++) {
            simulation.hosts().get(i % 3).claim("key-" + i / 20);
            simulation.run(300);
        }
        // Half of the dispatched requests release their claim, so most of the 10 keys are granted more than once.
        assertThat(simulation.resultCounts().get(ClaimResult.Decision.GRANTED)).isAtLeast(15);
        assertThat(simulation.resultCounts().get(ClaimResult.Decision.RECORDED)).isAtLeast(15);
        assertThat(simulation.resultCounts().get(ClaimResult.Decision.MAY_HAVE_RUN))
                .isAtLeast(15);
        assertThat(simulation.resultCounts()).doesNotContainKey(ClaimResult.Decision.UNAVAILABLE);
    }

    /** Guards against claims that are granted without a commit, and against a shard that remains without an owner. */
    @Test
    void claimsAreUnavailableDuringAnOutageAndGrantedAfterwards() {
        ClaimSimulation simulation = new ClaimSimulation(4, 0);
        simulation.run(1_000);
        simulation.setStoreDown(true);
        for (int i = 0; i < 20; i++) {
            simulation.hosts().get(i % 3).claim("outage-" + i);
            simulation.run(300);
        }
        assertThat(simulation.resultCounts().keySet()).containsExactly(ClaimResult.Decision.UNAVAILABLE);

        simulation.setStoreDown(false);
        simulation.run(10_000);
        simulation.hosts().get(0).claim("outage-0");
        simulation.run(1_000);
        assertThat(simulation.resultCounts().get(ClaimResult.Decision.GRANTED)).isEqualTo(1);
    }

    private static void injectFault(ClaimSimulation simulation, Random random) {
        ClaimSimulation.Host host = simulation.hosts().get(random.nextInt(3));
        switch (random.nextInt(5)) {
            case 0 -> host.freeze(random.nextInt(3_000));
            case 1 -> host.start();
            case 2 -> host.members(List.of("h0", "h1", "h2"));
            case 3 -> host.members(random.nextBoolean() ? List.of("h0", "h1") : List.of("h1", "h2"));
            default -> {
                simulation.setStoreDown(true);
                simulation.schedule(random.nextInt(2_000), () -> simulation.setStoreDown(false));
            }
        }
    }
}
