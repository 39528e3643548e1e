package org.gooseberryring.coordination.retry;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashSuspectsTest {
    /**
     * Guards against a request that crashes one endpoint after another. The bounds are two losses while one copy is
     * sent at a time, one more than the number of concurrent copies, and, if all notices are lost, the larger of two
     * and the number of concurrent copies for each host.
     */
    @Property(tries = 300, seed = "7303", shrinking = ShrinkingMode.OFF)
    void crashingRequestIsStopped(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int hosts,
            @ForAll @IntRange(min = 1, max = 3) int callers,
            @ForAll boolean noticesArrive,
            @ForAll boolean idempotent) {
        CrashWorld world = new CrashWorld(seed, hosts, noticesArrive, idempotent);

        int losses = world.run(callers, 20_000);

        int bound = noticesArrive ? 1 + callers : hosts * Math.max(2, callers);
        assertThat(losses).isAtMost(bound);
        assertThat(losses).isAtLeast(1);
        assertThat(world.completedOrdinary()).isAtLeast(100);
    }

    /** Guards against memory that grows with the number of crashing requests, and against a permanent quarantine. */
    @Test
    void digestsAreBoundedAndExpire() {
        CrashSuspects suspects = new CrashSuspects();
        for (int i = 0; i < CrashSuspects.MAX_DIGESTS + 10; i++) {
            suspects.onEndpointLost("d" + i, "e#" + i, i);
            suspects.onLossesReported("other", "d" + i, 1, i);
        }
        assertThat(suspects.size()).isEqualTo(CrashSuspects.MAX_DIGESTS);
        assertThat(suspects.isQuarantined("d20")).isTrue();

        suspects.expire(CrashSuspects.MAX_DIGESTS + 10 + CrashSuspects.EXPIRY_MILLIS);

        assertThat(suspects.size()).isEqualTo(0);
    }
}
