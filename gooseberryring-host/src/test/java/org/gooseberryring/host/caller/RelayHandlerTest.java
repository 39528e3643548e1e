package org.gooseberryring.host.caller;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;

import org.gooseberryring.host.Host;
import org.gooseberryring.host.TestFleet;
import org.gooseberryring.standins.EngineStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class RelayHandlerTest {
    @TempDir
    private Path directory;

    private TestFleet fleet;
    private EngineStandIn engine;
    private Host near;
    private Host far;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(directory);
        engine = fleet.engine("e1");
        near = fleet.host("h1", "d1", "{}");
        far = fleet.host("h2", "d2", "{}");
        fleet.configure(near);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against models that only the hosts of one failure domain can reach, and against keys that travel there. */
    @Test
    void requestReachesAModelOfAnotherFailureDomain() throws Exception {
        TestFleet.await(() -> served(far, "warm-up") == 200);

        HttpResponse<String> answer = fleet.send(fleet.completion(far, "hello", 3, false));

        assertThat(TestFleet.text(answer)).isEqualTo(EngineStandIn.expectedText("hello", 3));
        assertThat(engine.record().headers().toString()).doesNotContain(TestFleet.KEY);
        String requestId = answer.headers().firstValue("X-Request-Id").orElseThrow();
        assertThat(engine.record().started()).containsEntry(requestId, 1);
    }

    /** Guards against plain services that only the hosts of one failure domain can reach, and against a lost query. */
    @ParameterizedTest
    @ValueSource(strings = {"/status/7?books=2", "/submit"})
    void requestReachesAServiceOfAnotherFailureDomain(String path) throws Exception {
        TestFleet.await(() -> served(far, "warm-up") == 200);
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        TestFleet.uri(far.callerAddress(), "/services/desk" + path))
                .header("Authorization", "Bearer " + TestFleet.KEY)
                .POST(HttpRequest.BodyPublishers.ofString("{\"books\":1}"));

        HttpResponse<String> answer = fleet.send(request);

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body()).contains(path.replaceAll("\\?.*", ""));
        assertThat(fleet.desk().record().calls()).isEqualTo(1);
        assertThat(fleet.desk().record().headers().toString()).doesNotContain(TestFleet.KEY);
    }

    /** Guards against work that reaches the engines through the relay address without a key. */
    @Test
    void requestWithoutAnHmacIsRefused() throws Exception {
        HttpRequest.Builder forged = HttpRequest.newBuilder(TestFleet.uri(near.relayAddress(), "/v1/completions"))
                .header("X-Request-Id", "forged")
                .header("Authorization", "Bearer " + TestFleet.KEY)
                .header("X-Relay-Head", "forged,1,,normal,true,1000," + System.currentTimeMillis() + ",,1")
                .header("X-Relay-Hmac", "00".repeat(32))
                .POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"m@1\",\"prompt\":\"x\"}"));

        assertThat(TestFleet.code(fleet.send(forged))).isEqualTo("unauthenticated not-run");
        assertThat(engine.record().started()).isEmpty();
    }

    private int served(Host host, String prompt) {
        try {
            return fleet.send(fleet.completion(host, prompt, 1, false)).statusCode();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
