package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.gooseberryring.coordination.request.RequestPolicy;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.transport.endpoint.EndpointSignals;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EntryGateTest {
    private final List<Long> toldUntil = new ArrayList<>();
    private long now;

    /** Guards against a request that an endpoint gets after its caller has stopped to wait for it. */
    @Test
    void startsNothingAfterItsDeadline() {
        EntryGate gate = gate();
        BooleanSupplier mayStart = gate.mayStart(spec(1_000), "e1");
        now = 999;
        assertThat(mayStart.getAsBoolean()).isTrue();
        now = 1_000;
        assertThat(mayStart.getAsBoolean()).isFalse();
    }

    /** Guards against a request that was waiting for its connection when its endpoint asked for none. */
    @Test
    void startsNothingWhileTheEndpointBacksOff() {
        EntryGate gate = gate();
        BooleanSupplier mayStart = gate.mayStart(spec(10_000), "e1");
        gate.signals("e1").accept(new EndpointSignals(false, 1_500));
        now = 1_499;
        assertThat(mayStart.getAsBoolean()).isFalse();
        now = 1_500;
        assertThat(mayStart.getAsBoolean()).isTrue();
    }

    /** Guards against a shorter wish, in the answer to a request that was under way, that ends a longer one. */
    @Test
    void aShorterBackOffDoesNotEndALongerOne() {
        EntryGate gate = gate();
        gate.signals("e1").accept(new EndpointSignals(false, 8_000));
        gate.signals("e1").accept(new EndpointSignals(false, 1_000));
        now = 7_999;
        assertThat(gate.mayStart(spec(10_000), "e1").getAsBoolean()).isFalse();
        assertThat(toldUntil).containsExactly(8_000L, 8_000L);
    }

    private EntryGate gate() {
        DeploymentView view = new DeploymentView();
        EndpointSignalHandler news =
                new EndpointSignalHandler(view, process -> {}, (process, until) -> toldUntil.add(until), () -> now);
        return new EntryGate((endpoint, target) -> {}, (endpoint, digest) -> {}, view::process, news, () -> now);
    }

    private static RequestSpec spec(long deadline) {
        return new RequestSpec(
                "r",
                "o",
                new RequestTarget.RoutedTarget("s", null, null),
                PriorityClass.NORMAL,
                0,
                0,
                "digest",
                true,
                null,
                deadline,
                RequestPolicy.STANDARD);
    }
}
