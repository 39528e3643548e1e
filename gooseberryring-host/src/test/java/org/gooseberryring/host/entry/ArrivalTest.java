package org.gooseberryring.host.entry;

import java.util.List;
import java.util.OptionalLong;

import org.gooseberryring.state.RequestKind;
import org.gooseberryring.state.Route;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ArrivalTest {
    private static final long READ_AT = 10_000;
    private static final long WAIT_MILLIS = 1_200;

    /** Guards against a deadline that counts from the reading of a request. */
    @Test
    void deadlineCountsFromTheSocket() {
        FrontHandler.Arrival arrival = arrival(OptionalLong.of(2_000), WAIT_MILLIS);
        assertThat(arrival.deadline(route(RequestKind.IDEMPOTENT))).isEqualTo(READ_AT + 2_000 - WAIT_MILLIS);
        assertThat(arrival.isTooOld(route(RequestKind.IDEMPOTENT), READ_AT)).isFalse();
    }

    /** Guards against a stopping host that takes a request whose response it may have to cut. */
    @Test
    void responseMayLastUntilTheYoungestCallerLeaves() {
        FrontHandler.Arrival arrival = arrival(OptionalLong.of(2_000), WAIT_MILLIS);
        assertThat(arrival.latestDeadline(route(RequestKind.IDEMPOTENT))).isEqualTo(READ_AT + 2_000);
    }

    /** Guards against a request that runs after the time for which its caller waits. */
    @Test
    void requestIsTooOldOnceItsTimeIsOver() {
        FrontHandler.Arrival arrival = arrival(OptionalLong.of(WAIT_MILLIS), WAIT_MILLIS);
        assertThat(arrival.isTooOld(route(RequestKind.IDEMPOTENT), READ_AT)).isTrue();
        assertThat(arrival.isTooOld(route(RequestKind.IDEMPOTENT), READ_AT - 1)).isFalse();
    }

    /** Guards against a stream that runs although its caller gave up before the first event. */
    @Test
    void streamIsTooOldOnceItsStartIsDue() {
        FrontHandler.Arrival arrival = arrival(OptionalLong.of(15_000), 2_000);
        assertThat(arrival.isTooOld(route(RequestKind.STREAM), READ_AT)).isTrue();
        assertThat(arrival.isTooOld(route(RequestKind.IDEMPOTENT), READ_AT)).isFalse();
    }

    private static FrontHandler.Arrival arrival(OptionalLong deadlineMillis, long socketMillis) {
        RequestHead head = new RequestHead(
                "r-1", "h", null, deadlineMillis, null, null, null, OptionalLong.empty(), OptionalLong.empty(), null);
        return new FrontHandler.Arrival(head, READ_AT - socketMillis, READ_AT);
    }

    private static Route route(RequestKind kind) {
        return new Route("r", "h", "/r/", kind, 20_000, 400, 0, 1, List.of(), 2, false, false);
    }
}
