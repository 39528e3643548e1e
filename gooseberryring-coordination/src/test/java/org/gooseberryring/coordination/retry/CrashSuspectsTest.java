package org.gooseberryring.coordination.retry;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashSuspectsTest {
    /**
     * Guards against a request that takes down endpoint after endpoint: at most two while its caller sends one copy at
     * a time, at most one more than the copies sent at a time, and, if all notices are lost, for each host at most two
     * or the copies sent at a time.
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
        assertThat(world.answeredOrdinary()).isAtLeast(100);
    }

    /** Guards against memory that grows with the number of crashing requests, and against a ban for ever. */
    @Test
    void digestsAreBoundedAndExpire() {
        CrashSuspects suspects = new CrashSuspects();
        for (int i = 0; i < CrashSuspects.MAX_DIGESTS + 10; i++) {
            suspects.endpointLost("d" + i, "e#" + i, i);
            suspects.reported("other", "d" + i, 1, i);
        }
        assertThat(suspects.size()).isEqualTo(CrashSuspects.MAX_DIGESTS);
        assertThat(suspects.isQuarantined("d20")).isTrue();

        suspects.expire(CrashSuspects.MAX_DIGESTS + 10 + CrashSuspects.EXPIRY_MILLIS);

        assertThat(suspects.size()).isEqualTo(0);
    }
}
