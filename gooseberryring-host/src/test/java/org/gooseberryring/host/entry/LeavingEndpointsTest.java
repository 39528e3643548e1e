package org.gooseberryring.host.entry;

import java.util.List;

import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeavingEndpointsTest {
    private final LeavingEndpoints leaving = new LeavingEndpoints();

    /** Guards against an older entry that brings a process back which has said that it leaves. */
    @Test
    void aProcessThatLeavesStaysLeaving() {
        leaving.current(entry(5, true));
        assertThat(leaving.current(entry(5, false)).leaving()).isTrue();
        leaving.removed("e1");
        assertThat(leaving.current(entry(5, false)).leaving()).isTrue();
        assertThat(leaving.current(entry(4, false)).leaving()).isTrue();
    }

    /** Guards against an endpoint that stays out of use because its earlier process left, also by a late message. */
    @Test
    void aLaterProcessIsAnotherOne() {
        assertThat(leaving.add(new EndpointProcess("e1", 5))).isTrue();
        assertThat(leaving.add(new EndpointProcess("e1", 5))).isFalse();
        assertThat(leaving.current(entry(6, false)).leaving()).isFalse();
        leaving.add(new EndpointProcess("e1", 5));
        assertThat(leaving.current(entry(6, false)).leaving()).isFalse();
    }

    /** Guards against an endpoint of unknown start that could never come back. */
    @Test
    void aProcessOfUnknownStartIsForgottenWithItsEntry() {
        leaving.current(entry(0, true));
        assertThat(leaving.current(entry(0, false)).leaving()).isTrue();
        leaving.removed("e1");
        assertThat(leaving.current(entry(0, false)).leaving()).isFalse();
    }

    /** Guards against memory that grows with each endpoint that ever left. */
    @Test
    void forgetsTheOldestProcessesBeyondItsBound() {
        for (int i = 0; i < 5_000; i++) {
            leaving.add(new EndpointProcess("x" + i, 1));
        }
        assertThat(leaving.add(new EndpointProcess("x4999", 1))).isFalse();
        assertThat(leaving.add(new EndpointProcess("x0", 1))).isTrue();
    }

    private static EndpointRegistration entry(long bornMillis, boolean leaves) {
        return new EndpointRegistration("e1", "s", "10.0.0.1:80", "a", 4, leaves, 0, bornMillis, List.of());
    }
}
