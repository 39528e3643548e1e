package org.gooseberryring.coordination.route;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

class CreditCoordinatorTest {
    /**
     * Guards against more requests at an endpoint than it can run, counted over all hosts, when hosts crash, freeze or
     * move the coordinator and messages are lost, delayed or repeated; and against credits that stay lost afterwards.
     */
    @Property(tries = 600, seed = "7302", shrinking = ShrinkingMode.OFF)
    void concurrencyIsNeverExceededAndComesBack(@ForAll long seed, @ForAll @IntRange(min = 2, max = 5) int hosts) {
        CreditWorld world = new CreditWorld(seed, hosts);
        world.runWithFaults(12_000);

        assertThat(world.runWithoutFaults(20_000)).isAtLeast(50);
    }
}
