package org.gooseberryring.host;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;

import org.gooseberryring.standins.EngineStandIn;
import org.gooseberryring.standins.Fault;
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
        fleet.engine("e1");
        fleet.engine("e2");
        first = fleet.host("h1", "d1", "{}");
        second = fleet.host("h2", "d1", "{}");
        fleet.configure(first);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against answers that are changed or lost between the engine and the caller. */
    @Test
    void completionsArriveWhole() throws Exception {
        HttpResponse<String> answer = fleet.send(fleet.completion(first, "hello", 5, false));
        HttpResponse<String> stream = fleet.send(fleet.completion(second, "hello", 5, true));

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(TestFleet.text(answer)).isEqualTo(EngineStandIn.expectedText("hello", 5));
        assertThat(answer.headers().firstValue("X-Request-Id")).isPresent();
        assertThat(stream.body().strip()).endsWith("data: [DONE]");
    }

    /** Guards against endpoints that learn callers' keys. */
    @Test
    void endpointsNeverSeeTheKey() throws Exception {
        fleet.send(fleet.completion(first, "hello", 1, false));
        fleet.send(fleet.service(first, "POST", "/orders").header("X-Other", TestFleet.KEY));

        String seen = fleet.desk().record().headers().toString()
                + fleet.engineAt(0).record().headers()
                + fleet.engineAt(1).record().headers();
        assertThat(seen).doesNotContain(TestFleet.KEY);
    }

    /** Guards against a withdrawn key that keeps working on a connection that was opened before. */
    @Test
    void withdrawnKeyStopsOnAKeptAliveConnection() throws Exception {
        assertThat(fleet.send(fleet.completion(second, "a", 1, false)).statusCode())
                .isEqualTo(200);
        long revision = first.configuration().current().revision();

        fleet.change(first, revision, "withdraw", List.of(new Change.WithdrawKey(TestFleet.sha256(TestFleet.KEY))));
        TestFleet.await(() -> second.configuration().current().revision() > revision);

        HttpResponse<String> answer = fleet.send(fleet.completion(second, "b", 1, false));
        assertThat(TestFleet.code(answer)).isEqualTo("unauthenticated not-run");
    }

    /** Guards against two operators who overwrite each other's changes, and against a change made twice. */
    @Test
    void conflictingChangeIsRefusedAndRepeatedOneIsNotMadeTwice() throws Exception {
        long revision = first.configuration().current().revision();
        List<Change> changes = List.of(new Change.IssueKey(TestFleet.sha256("k2"), "inkingi", "k2"));

        HttpResponse<String> made = fleet.change(first, revision, "c1", changes);
        HttpResponse<String> repeated = fleet.change(second, revision, "c1", changes);
        HttpResponse<String> conflicting = fleet.change(second, revision, "c2", changes);

        assertThat(made.statusCode()).isEqualTo(200);
        assertThat(repeated.body()).isEqualTo(made.body());
        assertThat(conflicting.statusCode()).isEqualTo(409);
        assertThat(conflicting.headers().firstValue("ETag")).hasValue("\"" + (revision + 1) + "\"");
    }

    /** Guards against a change that is reported as failed although the store applied it. */
    @Test
    void lostAnswerOfTheStoreIsResolvedByTheChangeId() throws Exception {
        long revision = first.configuration().current().revision();
        fleet.platform().faults().set(Fault.LOSE_ANSWERS, 2);

        HttpResponse<String> answer = fleet.change(
                first, revision, "c1", List.of(new Change.IssueKey(TestFleet.sha256("k2"), "inkingi", "k2")));

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(fleet.admin(first, "/admin/v1/audit?after=0").body()).contains("\"changeId\":\"setup\"");
    }
}
