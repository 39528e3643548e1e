package org.gooseberryring.host.control;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.gooseberryring.host.Host;
import org.gooseberryring.host.TestFleet;
import org.gooseberryring.standins.InjectedFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class ClaimControlTest {
    @TempDir
    private Path directory;

    private TestFleet fleet;
    private Host first;
    private Host second;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(directory);
        fleet.engine("e1");
        first = fleet.host("h1", "d1", "{\"timeouts\":{\"storeMillis\":500}}");
        second = fleet.host("h2", "d1", "{\"timeouts\":{\"storeMillis\":500}}");
        fleet.configure(first);
        TestFleet.await(() -> post(first, "warm-up").statusCode() == 200);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against an order that runs twice because its caller repeats it, possibly through another host. */
    @Test
    void repeatedOrderRunsOnceAndGetsTheRecordedResponse() {
        HttpResponse<String> response = post(first, "k1");
        assertThat(response.statusCode()).isEqualTo(200);

        TestFleet.await(() -> post(second, "k1").statusCode() == 200);

        assertThat(post(second, "k1").body()).isEqualTo(response.body());
        assertThat(fleet.desk().record().byIdempotencyKey()).containsEntry("k1", 1);
    }

    /** Guards against orders that run twice because the caller repeats them before the first response. */
    @Test
    void concurrentOrdersRunOnce() {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Host host = i % 2 == 0 ? first : second;
            responses.add(CompletableFuture.supplyAsync(() -> post(host, "k2")));
        }
        responses.forEach(CompletableFuture::join);

        assertThat(fleet.desk().record().byIdempotencyKey()).containsEntry("k2", 1);
    }

    /** Guards against an order that runs although its claim is not in the store. */
    @Test
    void orderDoesNotRunWhileTheStoreIsDown() {
        fleet.platform().faults().set(InjectedFault.DOWN, 1);

        HttpResponse<String> response = post(first, "k3");

        assertThat(TestFleet.code(response)).isEqualTo("claim-unavailable not-run");
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
        assertThat(fleet.desk().record().byIdempotencyKey()).doesNotContainKey("k3");
    }

    /** Guards against a second run of an order whose response was lost after the service accepted it. */
    @Test
    void orderWithALostResponseIsNotRepeated() {
        fleet.desk().faults().set(InjectedFault.LOSE_ANSWERS, 1);

        HttpResponse<String> lost = post(first, "k4");
        HttpResponse<String> repeated = post(second, "k4");

        assertThat(TestFleet.code(lost)).endsWith("may-have-run");
        assertThat(TestFleet.code(repeated)).isEqualTo("already-claimed may-have-run");
        assertThat(fleet.desk().record().byIdempotencyKey()).containsEntry("k4", 1);
    }

    private HttpResponse<String> post(Host host, String key) {
        try {
            return fleet.send(fleet.service(host, "POST", "/orders").header("Idempotency-Key", key));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
