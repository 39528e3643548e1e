package org.gooseberryring.standins;

import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ServiceStandInTest {
    private final ServiceStandIn service = new ServiceStandIn("s1", 0).start();
    private final TestCaller caller = new TestCaller(service.address());

    @AfterEach
    void close() {
        service.close();
    }

    /** Guards against tests of repeated charges that pass because calls of some methods are not counted. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "HEAD"})
    void countsEachCallByIdempotencyKey(String method) {
        caller.call(method, "/orders/7", "", "Idempotency-Key", "k");
        caller.call(method, "/orders/7", "", "Idempotency-Key", "k");

        assertThat(service.record().byIdempotencyKey()).containsExactly("k", 2);
        assertThat(service.record().byMethod()).containsExactly(method, 2);
    }

    /** Guards against response faults that undo the effect of the call or still deliver the complete response. */
    @ParameterizedTest
    @EnumSource(names = {"LOSE_ANSWERS", "CUT_ANSWERS"})
    void callTakesEffectWhenItsResponseIsLost(InjectedFault fault) {
        service.faults().set(fault, 1);
        service.faults().set(InjectedFault.CUT_AFTER_BYTES, 5);

        assertThrows(CompletionException.class, () -> caller.call("POST", "/charge", "x", "Idempotency-Key", "k"));

        assertThat(service.record().byIdempotencyKey()).containsExactly("k", 1);
    }

    /** Guards against calls that take effect during an outage. */
    @Test
    void callHasNoEffectDuringOutage() {
        service.faults().set(InjectedFault.DOWN, 1);

        assertThat(caller.call("POST", "/charge", "x").statusCode()).isEqualTo(503);
        assertThat(service.record().calls()).isEqualTo(0);
    }
}
