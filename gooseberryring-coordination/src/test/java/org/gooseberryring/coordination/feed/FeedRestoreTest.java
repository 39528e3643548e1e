package org.gooseberryring.coordination.feed;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

class FeedRestoreTest {
    private static final int SEEDS = 300;

    /** Time after the last fault in which entries are written again or expire and all hosts read them. */
    private static final long CONVERGED_MILLIS = 12_000;

    /** Guards against hosts that keep an outdated state or use an endpoint again that they had removed. */
    @Test
    void allHostsConvergeWithoutUsingRemovedEndpoints() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            FeedRestoreSimulation simulation = new FeedRestoreSimulation(seed);
            simulation.runTo(FeedRestoreSimulation.FAULTS_END_MILLIS + CONVERGED_MILLIS);
            assertWithMessage("seed %s", seed).that(simulation.violations()).isEmpty();
            assertWithMessage("seed %s", seed).that(simulation.differing()).isEmpty();
        }
    }
}
