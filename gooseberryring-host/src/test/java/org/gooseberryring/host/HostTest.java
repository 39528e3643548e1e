package org.gooseberryring.host;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.gooseberryring.standins.EngineSettings;
import org.gooseberryring.standins.EngineStandIn;
import org.gooseberryring.standins.InjectedFault;
import org.gooseberryring.state.Change;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class HostTest {
    @TempDir
    private Path directory;

    private TestFleet fleet;
    private Host first;
    private Host second;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(directory);
        fleet.engine(EngineSettings.of("e1", 1L << 34, 32).withPace(50, 20));
        fleet.engine(EngineSettings.of("e2", 1L << 34, 32).withPace(50, 20));
        first = fleet.host("h1", "d1", "{}");
        second = fleet.host("h2", "d1", "{}");
        fleet.configure(first);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against responses that are altered or lost between the engine and the caller. */
    @Test
    void completionsArriveComplete() throws Exception {
        HttpResponse<String> response = fleet.send(fleet.completion(first, "hello", 5, false));
        HttpResponse<String> stream = fleet.send(fleet.completion(second, "hello", 5, true));

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(TestFleet.text(response)).isEqualTo(EngineStandIn.expectedText("hello", 5));
        assertThat(response.headers().firstValue("X-Request-Id")).isPresent();
        assertThat(stream.body().strip()).endsWith("data: [DONE]");
    }

    /** Guards against forwarding the keys of callers to endpoints. */
    @Test
    void callerKeyIsNotSentToEndpoints() throws Exception {
        fleet.send(fleet.completion(first, "hello", 1, false));
        fleet.send(fleet.service(first, "POST", "/orders").header("X-Other", TestFleet.KEY));

        String recordedHeaders = fleet.desk().record().headers().toString()
                + fleet.engineAt(0).record().headers()
                + fleet.engineAt(1).record().headers();
        assertThat(recordedHeaders).doesNotContain(TestFleet.KEY);
    }

    /** Guards against a withdrawn key that is still accepted on a connection opened earlier. */
    @Test
    void withdrawnKeyIsRejectedOnKeepAliveConnection() throws Exception {
        assertThat(fleet.send(fleet.completion(second, "a", 1, false)).statusCode())
                .isEqualTo(200);
        long revision = first.configuration().current().revision();

        fleet.change(first, revision, "withdraw", List.of(new Change.WithdrawKey(TestFleet.sha256(TestFleet.KEY))));
        TestFleet.await(() -> second.configuration().current().revision() > revision);

        HttpResponse<String> response = fleet.send(fleet.completion(second, "b", 1, false));
        assertThat(TestFleet.code(response)).isEqualTo("unauthenticated not-run");
    }

    /** Guards against operators who overwrite each other's changes and against a change that is applied twice. */
    @Test
    void conflictingChangeIsRejectedAndRepeatedChangeIsAppliedOnce() throws Exception {
        long revision = first.configuration().current().revision();
        List<Change> changes = List.of(new Change.IssueKey(TestFleet.sha256("k2"), "inkingi", "k2"));

        HttpResponse<String> committed = fleet.change(first, revision, "c1", changes);
        HttpResponse<String> repeated = fleet.change(second, revision, "c1", changes);
        HttpResponse<String> conflicting = fleet.change(second, revision, "c2", changes);

        assertThat(committed.statusCode()).isEqualTo(200);
        assertThat(repeated.body()).isEqualTo(committed.body());
        assertThat(conflicting.statusCode()).isEqualTo(409);
        assertThat(conflicting.headers().firstValue("ETag")).hasValue("\"" + (revision + 1) + "\"");
    }

    /** Guards against a change that is reported as failed although the store applied it but its reply was lost. */
    @Test
    void unknownStoreOutcomeIsResolvedByChangeId() throws Exception {
        long revision = first.configuration().current().revision();
        fleet.platform().faults().set(InjectedFault.LOSE_ANSWERS, 2);

        HttpResponse<String> response = fleet.change(
                first, revision, "c1", List.of(new Change.IssueKey(TestFleet.sha256("k2"), "inkingi", "k2")));

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(fleet.admin(first, "/admin/v1/audit?after=0").body()).contains("\"changeId\":\"setup\"");
    }

    /** Guards against a shutdown that truncates responses or gives new callers no verdict. */
    @Test
    void drainCompletesResponsesAndRejectsNewRequests() throws Exception {
        Host draining = fleet.host("h3", "d1", "{\"timeouts\":{\"drainNoticeMillis\":1000}}");
        TestFleet.await(draining::isReady);
        CompletableFuture<HttpResponse<String>> stream = fleet.client()
                .sendAsync(fleet.completion(draining, "long", 20, true).build(), HttpResponse.BodyHandlers.ofString());
        TestFleet.await(() -> draining.openRequests() == 1);

        CompletableFuture<Void> drained = CompletableFuture.runAsync(draining::drain);
        TestFleet.await(() -> !draining.isReady());
        HttpResponse<String> rejected = fleet.send(fleet.completion(draining, "new", 1, false));

        assertThat(TestFleet.code(rejected)).isEqualTo("shutting-down not-run");
        assertThat(stream.get().body().strip()).endsWith("data: [DONE]");
        drained.get();
    }

    /** Guards against a new host that cannot serve while the platform is down although its peers can. */
    @Test
    void newHostGetsConfigurationFromPeerWhilePlatformIsDown() throws Exception {
        assertThat(fleet.send(fleet.completion(first, "a", 1, false)).statusCode())
                .isEqualTo(200);
        fleet.platform().faults().set(InjectedFault.DOWN, 1);
        String seeds = TestFleet.seed("h1", "d1", first) + "," + TestFleet.seed("h2", "d1", second);

        Host newHost = fleet.host("h3", "d1", "{\"peerSeeds\":[" + seeds + "]}");

        TestFleet.await(newHost::isReady);
        TestFleet.await(() -> status(newHost) == 200);
    }

    /** Guards against a failed host that interrupts the responses of other hosts. */
    @Test
    void otherHostsServeWhenOneFailsUnderLoad() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> failedStreams = new ArrayList<>();
        List<CompletableFuture<HttpResponse<String>>> otherStreams = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            failedStreams.add(stream(second, "lost" + i));
            otherStreams.add(stream(first, "kept" + i));
        }
        TestFleet.await(() -> second.openRequests() == 10 && first.openRequests() == 10);

        second.close();

        for (int i = 0; i < 10; i++) {
            assertThat(otherStreams.get(i).get().body().strip()).endsWith("data: [DONE]");
            assertThat(failedStreams
                            .get(i)
                            .handle((response, failure) -> failure != null)
                            .get())
                    .isTrue();
            assertThat(stream(first, "lost" + i).get().body().strip()).endsWith("data: [DONE]");
        }
    }

    private CompletableFuture<HttpResponse<String>> stream(Host host, String prompt) {
        return fleet.client()
                .sendAsync(fleet.completion(host, prompt, 10, true).build(), HttpResponse.BodyHandlers.ofString());
    }

    private int status(Host host) {
        try {
            return fleet.send(fleet.completion(host, "b", 1, false)).statusCode();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }
}
