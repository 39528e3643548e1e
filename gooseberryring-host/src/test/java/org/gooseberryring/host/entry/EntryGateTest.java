package org.gooseberryring.host.entry;

import java.util.function.BooleanSupplier;

import org.gooseberryring.coordination.request.Handling;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.Target;
import org.gooseberryring.state.PriorityClass;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EntryGateTest {
    private long now;

    /** Guards against a request that an endpoint gets after its caller has stopped to wait for it. */
    @Test
    void startsNothingAfterItsDeadline() {
        EntryGate gate = new EntryGate((endpoint, target) -> {}, (endpoint, digest) -> {}, () -> now);
        BooleanSupplier mayStart = gate.mayStart(spec(1_000), "e1");
        now = 999;
        assertThat(mayStart.getAsBoolean()).isTrue();
        now = 1_000;
        assertThat(mayStart.getAsBoolean()).isFalse();
    }

    private static RequestSpec spec(long deadline) {
        return new RequestSpec(
                "r",
                "o",
                new Target.RoutedTarget("s", null, null),
                PriorityClass.NORMAL,
                0,
                0,
                "digest",
                true,
                null,
                deadline,
                Handling.STANDARD);
    }
}
