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
    private Host localHost;
    private Host remoteHost;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(directory);
        engine = fleet.engine("e1");
        localHost = fleet.host("h1", "d1", "{}");
        remoteHost = fleet.host("h2", "d2", "{}");
        fleet.configure(localHost);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against models that only hosts of their own failure domain can reach, and against relayed API keys. */
    @Test
    void requestReachesAModelOfAnotherFailureDomain() throws Exception {
        TestFleet.await(() -> completionStatus(remoteHost, "warm-up") == 200);

        HttpResponse<String> response = fleet.send(fleet.completion(remoteHost, "hello", 3, false));

        assertThat(TestFleet.text(response)).isEqualTo(EngineStandIn.expectedText("hello", 3));
        assertThat(engine.record().headers().toString()).doesNotContain(TestFleet.KEY);
        String requestId = response.headers().firstValue("X-Request-Id").orElseThrow();
        assertThat(engine.record().started()).containsEntry(requestId, 1);
    }

    /** Guards against plain services that only hosts of their own failure domain can reach, and against a lost query. */
    @ParameterizedTest
    @ValueSource(strings = {"/status/7?books=2", "/submit"})
    void requestReachesAServiceOfAnotherFailureDomain(String path) throws Exception {
        TestFleet.await(() -> completionStatus(remoteHost, "warm-up") == 200);
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        TestFleet.uri(remoteHost.callerAddress(), "/services/desk" + path))
                .header("Authorization", "Bearer " + TestFleet.KEY)
                .POST(HttpRequest.BodyPublishers.ofString("{\"books\":1}"));

        HttpResponse<String> response = fleet.send(request);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains(path.replaceAll("\\?.*", ""));
        assertThat(fleet.desk().record().calls()).isEqualTo(1);
        assertThat(fleet.desk().record().headers().toString()).doesNotContain(TestFleet.KEY);
    }

    /** Guards against unauthenticated requests that reach the engines through the relay address. */
    @Test
    void requestWithInvalidHmacIsRefused() throws Exception {
        HttpRequest.Builder forged = HttpRequest.newBuilder(TestFleet.uri(localHost.relayAddress(), "/v1/completions"))
                .header("X-Request-Id", "forged")
                .header("Authorization", "Bearer " + TestFleet.KEY)
                .header("X-Relay-Head", "forged,1,,normal,true,1000," + System.currentTimeMillis() + ",,1")
                .header("X-Relay-Hmac", "00".repeat(32))
                .POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"m@1\",\"prompt\":\"x\"}"));

        assertThat(TestFleet.code(fleet.send(forged))).isEqualTo("unauthenticated not-run");
        assertThat(engine.record().started()).isEmpty();
    }

    private int completionStatus(Host host, String prompt) {
        try {
            return fleet.send(fleet.completion(host, prompt, 1, false)).statusCode();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
