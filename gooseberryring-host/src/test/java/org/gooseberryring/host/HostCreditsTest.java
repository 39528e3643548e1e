package org.gooseberryring.host;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.gooseberryring.standins.EngineSettings;
import org.gooseberryring.standins.EngineStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class HostCreditsTest {
    private static final int CONCURRENCY = 4;
    private static final int REQUESTS = 40;

    @TempDir
    private Path directory;

    /** Guards against two hosts that together exceed the configured concurrency of an engine. */
    @Test
    void hostsOfOneDomainStayWithinConcurrencyOfEngine() throws Exception {
        // The capacity of the engine exceeds the configured concurrency, because the engine would queue requests above
        // its
        // own capacity and its record would not show them.
        try (TestFleet fleet = new TestFleet(directory)) {
            EngineStandIn engine =
                    fleet.engine(EngineSettings.of("e1", 1L << 34, REQUESTS).withPace(20, 5));
            Host first = fleet.host("h1", "d1", "{\"sharedCredits\":1}");
            Host second = fleet.host("h2", "d1", "{\"sharedCredits\":1}");
            fleet.configure(first, CONCURRENCY);

            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                Host host = i % 2 == 0 ? first : second;
                responses.add(fleet.client()
                        .sendAsync(
                                fleet.completion(host, "p" + i, 4, false).build(),
                                HttpResponse.BodyHandlers.ofString()));
            }

            for (CompletableFuture<HttpResponse<String>> response : responses) {
                assertThat(response.get().statusCode()).isEqualTo(200);
            }
            assertThat(engine.record().largestConcurrency()).isAtMost(CONCURRENCY);
            assertThat(engine.record().completed()).hasSize(REQUESTS);
        }
    }
}
