package org.gooseberryring.host.entry;

import java.util.List;

import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LeavingEndpointsTest {
    private final LeavingEndpoints leaving = new LeavingEndpoints();

    /** Guards against an older registration that puts a leaving process back into service. */
    @Test
    void leavingProcessStaysLeaving() {
        leaving.withLeaving(registration(5, true));
        assertThat(leaving.withLeaving(registration(5, false)).leaving()).isTrue();
        leaving.onRemoved("e1");
        assertThat(leaving.withLeaving(registration(5, false)).leaving()).isTrue();
        assertThat(leaving.withLeaving(registration(4, false)).leaving()).isTrue();
    }

    /** Guards against an endpoint that gets no work because its earlier process left, also after a delayed message. */
    @Test
    void laterProcessIsNotLeaving() {
        assertThat(leaving.add(new EndpointProcess("e1", 5))).isTrue();
        assertThat(leaving.add(new EndpointProcess("e1", 5))).isFalse();
        assertThat(leaving.withLeaving(registration(6, false)).leaving()).isFalse();
        leaving.add(new EndpointProcess("e1", 5));
        assertThat(leaving.withLeaving(registration(6, false)).leaving()).isFalse();
    }

    /** Guards against an endpoint with an unknown start time that is never used again after it has left once. */
    @Test
    void processOfUnknownStartIsRemovedWithItsRegistration() {
        leaving.withLeaving(registration(0, true));
        assertThat(leaving.withLeaving(registration(0, false)).leaving()).isTrue();
        leaving.onRemoved("e1");
        assertThat(leaving.withLeaving(registration(0, false)).leaving()).isFalse();
    }

    /** Guards against memory that grows without bound with each endpoint that leaves. */
    @Test
    void evictsTheOldestProcessesBeyondItsLimit() {
        for (int i = 0; i < 5_000; i++) {
            leaving.add(new EndpointProcess("x" + i, 1));
        }
        assertThat(leaving.add(new EndpointProcess("x4999", 1))).isFalse();
        assertThat(leaving.add(new EndpointProcess("x0", 1))).isTrue();
    }

    private static EndpointRegistration registration(long bornMillis, boolean isLeaving) {
        return new EndpointRegistration("e1", "s", "10.0.0.1:80", "a", 4, isLeaving, 0, bornMillis, List.of());
    }
}
