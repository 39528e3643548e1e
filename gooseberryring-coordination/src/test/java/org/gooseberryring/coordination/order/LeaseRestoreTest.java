package org.gooseberryring.coordination.order;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

class LeaseRestoreTest {
    private static final int SEEDS = 400;

    /** Time within which a failure domain has a controller again: a failed call, one lease period and the next read. */
    private static final long CONVERGENCE_TIMEOUT_MILLIS = 3 * LeaseRestoreSimulation.LEASE_MILLIS;

    /**
     * Guards against two hosts that send orders at the same time, and against fencing numbers that decrease or are
     * reused.
     */
    @Test
    void onlyOneHostSendsOrdersAtATimeWithIncreasingFencingNumbers() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LeaseRestoreSimulation simulation = new LeaseRestoreSimulation(seed);
            simulation.runTo(LeaseRestoreSimulation.FAULTS_END_MILLIS + CONVERGENCE_TIMEOUT_MILLIS);
            assertWithMessage("seed %s", seed).that(simulation.violations()).isEmpty();
            assertWithMessage("seed %s", seed)
                    .that(simulation.hasSingleLeader())
                    .isTrue();
        }
    }
}
