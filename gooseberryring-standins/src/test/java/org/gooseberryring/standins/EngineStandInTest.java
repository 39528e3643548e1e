package org.gooseberryring.standins;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.protocol.OrderDocument;
import org.gooseberryring.protocol.OrderState;
import org.gooseberryring.state.Artifact;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class EngineStandInTest {
    private static final Artifact MODEL = new Artifact("m", null, "1");
    private static final String COMPLETIONS = "/v1/completions";

    private final EngineStandIn engine = new EngineStandIn(
                    EngineSettings.of("e1", 100, 4), new WeightStoreStandIn(1_000, 4, 1, 50), 1)
            .preload(MODEL, 40)
            .start();
    private final TestCaller caller = new TestCaller(engine.address());

    @AfterEach
    void close() {
        engine.close();
    }

    /** Guards against responses without an end marker or declared length, which a host needs to detect a cut-off body. */
    @Test
    void respondsWithEventStreamOrCompleteDocument() {
        HttpResponse<String> stream = complete("r1", "hello", true);
        HttpResponse<String> document = complete("r2", "hello", false);

        assertThat(stream.body()).endsWith("data: [DONE]\n\n");
        assertThat(stream.body()).contains("\"completion_tokens\":3");
        assertThat(stream.headers().firstValue("X-Request-Id")).hasValue("r1");
        assertThat(document.body()).contains(EngineStandIn.expectedText("hello", 3));
        assertThat(document.headers().firstValue("Content-Length")).isPresent();
        assertThat(engine.record().completed()).containsExactly("r1", 1, "r2", 1);
    }

    /** Guards against a record that still counts a request as running after the client has read its response. */
    @Test
    void requestIsCompletedWhenItsResponseIsRead() {
        for (int i = 0; i < 300; i++) {
            complete("r" + i, "hello", false);

            assertThat(engine.record().completed()).containsKey("r" + i);
        }
    }

    /** Guards against a memory account that ignores loads in progress. */
    @Test
    void recordsMemoryOvercommitment() {
        assertThat(order(1, 1, "b", 60).status()).isEqualTo(OrderState.Status.PENDING);
        assertThat(engine.record().memoryOvercommitted()).isFalse();

        assertThat(order(1, 2, "c", 1).status()).isEqualTo(OrderState.Status.FAILED);

        assertThat(engine.record().memoryOvercommitted()).isTrue();
        assertThat(engine.record().memoryPeakBytes()).isEqualTo(101);
    }

    /** Guards against an engine that applies the orders of a controller whose term has ended. */
    @Test
    void rejectsOrderWithOldFencingNumber() {
        order(2, 1, "b", 10);

        assertThat(order(1, 9, "c", 10).status()).isEqualTo(OrderState.Status.FENCED);
        assertThat(engine.record().ordersFenced()).isEqualTo(1);
        assertThat(load().highestTerm()).isEqualTo(2);
    }

    /** Guards against crash tests in which the engine keeps serving, or keeps its memory or incarnation. */
    @Test
    void crashMarkerInBodyCrashesEngineUntilRestart() {
        engine.faults().set(InjectedFault.CRASH_MARKER, "boom");

        assertThrows(CompletionException.class, () -> complete("r1", "boom", false));
        assertThrows(CompletionException.class, this::load);
        engine.restart();

        assertThat(load().incarnation()).isEqualTo(2);
        assertThat(load().loaded()).isEmpty();
        assertThat(complete("r2", "x", false).statusCode()).isEqualTo(404);
    }

    /** Guards against a cold engine that survives full load. */
    @Test
    void coldEngineCrashesAboveItsCapacity() {
        engine.faults().set(InjectedFault.COLD, 1);
        engine.faults().set(InjectedFault.COLD_CAPACITY, 2);
        engine.faults().set(InjectedFault.SLOW_MILLIS, 5_000);
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();

        for (int i = 0; i < 3; i++) {
            calls.add(caller.begin("POST", COMPLETIONS, body("p", false), "X-Request-Id", "r" + i));
        }

        calls.forEach(call -> assertThrows(CompletionException.class, call::join));
        assertThat(engine.record().crashes()).isEqualTo(1);
    }

    /** Guards against cut-off responses that end like complete ones. */
    @Test
    void cutResponseEndsBeforeItsDeclaredEnd() {
        for (boolean stream : new boolean[] {true, false}) {
            engine.faults().set(InjectedFault.CUT_ANSWERS, 1);
            engine.faults().set(InjectedFault.CUT_AFTER_BYTES, 20);

            assertThrows(CompletionException.class, () -> complete("r", "p", stream));
        }
        assertThat(engine.record().completed()).isEmpty();
        assertThat(engine.record().started()).containsExactly("r", 2);
    }

    /** Guards against a lost order that takes effect, and against a repeated order that is applied again. */
    @Test
    void lostOrderIsNotAppliedAndRepeatedOrderIsAppliedOnce() {
        engine.faults().set(InjectedFault.LOSE_ORDERS, 1);
        assertThrows(CompletionException.class, () -> order(1, 1, "b", 10));
        assertThat(engine.record().ordersApplied()).isEmpty();

        order(1, 1, "b", 10);
        order(1, 1, "b", 10);

        assertThat(engine.record().ordersApplied()).containsExactly("1-1", 1);
    }

    private HttpResponse<String> complete(String id, String prompt, boolean stream) {
        return caller.call("POST", COMPLETIONS, body(prompt, stream), "X-Request-Id", id);
    }

    private static String body(String prompt, boolean stream) {
        return "{\"model\":\"m\",\"max_tokens\":3,\"prompt\":\"" + prompt + "\",\"stream\":" + stream + "}";
    }

    private OrderState order(long term, long sequence, String model, long bytes) {
        OrderDocument order = new OrderDocument(
                term + "-" + sequence,
                term,
                sequence,
                OrderDocument.Action.LOAD,
                new Artifact(model, null, "1"),
                bytes,
                null);
        String response =
                caller.call("POST", "/v1/orders", Json.writeString(order)).body();
        return Json.read(response.getBytes(), OrderState.class);
    }

    private LoadReport load() {
        return Json.read(caller.call("GET", "/v1/load", "").body().getBytes(), LoadReport.class);
    }
}
