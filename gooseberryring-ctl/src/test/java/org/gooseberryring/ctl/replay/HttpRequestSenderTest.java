package org.gooseberryring.ctl.replay;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.gooseberryring.standins.EngineSettings;
import org.gooseberryring.standins.EngineStandIn;
import org.gooseberryring.standins.InjectedFault;
import org.gooseberryring.standins.WeightStoreStandIn;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.transport.http.HttpWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class HttpRequestSenderTest {
    private final EngineStandIn engine = new EngineStandIn(
                    EngineSettings.of("e", 100, 4), new WeightStoreStandIn(1, 1, 1, 1), 1)
            .preload(new Artifact("m", null, "1"), 1)
            .start();
    private final HttpWorker worker = HttpWorker.start("test", 1, 1);
    private final HttpRequestSender sender = new HttpRequestSender(List.of(engine.address()), worker, 10);

    @AfterEach
    void close() {
        worker.close();
        engine.close();
    }

    /** Guards against a replay that counts refusals or truncated responses as served, or never completes them. */
    @Test
    void distinguishesServedRefusedTruncatedAndFailedRequests() {
        assertThat(send("m").isServed()).isTrue();
        assertThat(send("m").firstTokenMicros()).isAtLeast(0);
        assertThat(send("other").isRefused()).isTrue();
        engine.faults().set(InjectedFault.CUT_ANSWERS, 1);
        engine.faults().set(InjectedFault.CUT_AFTER_BYTES, 100);
        Outcome truncated = send("m");
        engine.crash();
        Outcome failed = send("m");

        assertThat(truncated.status()).isEqualTo(200);
        assertThat(truncated.isServed()).isFalse();
        assertThat(failed.status()).isEqualTo(0);
        assertThat(failed.isServed()).isFalse();
    }

    private Outcome send(String model) {
        CompletableFuture<Outcome> done = new CompletableFuture<>();
        TraceLine line = new TraceLine(0, "o", model, null, 5, 3, null, true, null);
        sender.send(0, line, "key", 0, done::complete);
        return done.join();
    }
}
