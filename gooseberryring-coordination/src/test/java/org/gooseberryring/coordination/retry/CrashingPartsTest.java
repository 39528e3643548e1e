package org.gooseberryring.coordination.retry;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class CrashingPartsTest {
    /** Requests that may still reach endpoints after the bound, over all hosts. */
    private static final int MAX_REQUESTS_AFTER_BOUND = 3;

    private static final long SOUND_MILLIS = 10_000;
    private static final long CRASHING_MILLIS = 25_000;

    /** Guards against requests that differ except for one part of their prompts, which crash endpoint after endpoint. */
    @Property(tries = 60, seed = "3601", shrinking = ShrinkingMode.OFF)
    void requestsWithACrashingPartAreStopped(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 2) int position,
            @ForAll @IntRange(min = 1, max = 2) int parts,
            @ForAll boolean frequent,
            @ForAll boolean manyHosts,
            @ForAll boolean manySlots) {
        PartWorld world = new PartWorld(
                new PartWorld.Settings(
                        manyHosts ? 7 : 1,
                        12,
                        manySlots ? 64 : 4,
                        manySlots ? 40 : 20,
                        frequent ? 0.5 : 0.05,
                        parts,
                        PartWorld.Position.values()[position]),
                seed);

        checkStopped(world);
    }

    /** Guards against evidence that is spread so thinly over many hosts that none of them acts on it. */
    @Test
    void requestsWithACrashingPartAreStoppedByManyHosts() {
        for (int seed = 1; seed <= 2; seed++) {
            for (double share : new double[] {0.05, 0.5}) {
                PartWorld world = new PartWorld(
                        new PartWorld.Settings(300, 80, 64, 200, share, 1, PartWorld.Position.MIDDLE), seed);

                checkStopped(world);
            }
        }
    }

    private static void checkStopped(PartWorld world) {
        world.run(SOUND_MILLIS);
        world.crashFor(CRASHING_MILLIS);
        world.run(CRASHING_MILLIS);

        assertWithMessage("requests after the bound, %s crashes", world.crashes())
                .that(world.requestsAfterBound())
                .isAtMost(MAX_REQUESTS_AFTER_BOUND);
        assertThat(world.crashes()).isAtLeast(1);
        assertThat(world.begunAfterBound()).isAtLeast(world.begunBefore() / 2);
    }
}
