package org.gooseberryring.host.entry;

import org.gooseberryring.coordination.request.RequestPolicy;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.PromptShape;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests requests whose identifier belongs to another request of the same host. */
class ReusedIdentifierTest {
    private static final long OBJECTIVE_MILLIS = 400;
    private static final long DEADLINE_MILLIS = 9_000;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

    private final SteppedRequests host = new SteppedRequests();
    private final ControlledEndpoint endpoint = new ControlledEndpoint();

    @BeforeEach
    void register() throws Exception {
        host.register("e1", endpoint, 4);
        host.route("/first", spec("same", DEADLINE_MILLIS));
        host.route("/second", spec("same", 2 * DEADLINE_MILLIS));
    }

    @AfterEach
    void close() throws Exception {
        host.close();
        endpoint.close();
    }

    /** Guards against a request that gets no answer because an earlier one with its identifier still runs. */
    @Test
    void requestWithTheIdentifierOfARejectedOneThatStillRunsIsAnswered() throws Exception {
        try (RawCaller caller = new RawCaller(host.port())) {
            caller.get("/first");
            ControlledEndpoint.Run run = endpoint.awaitRequest();
            host.tickAt(DEADLINE_MILLIS);
            assertThat(caller.readTo("}")).contains("HTTP/1.1 504");
            host.settle();

            caller.get("/second");

            assertThat(caller.readTo("}")).contains("HTTP/1.1 503");
            run.close();
        }
    }

    /** Guards against an identifier that stays taken after its request has ended. */
    @Test
    void identifierIsFreeOnceTheRejectedRequestHasStoppedRunning() throws Exception {
        try (ControlledEndpoint other = new ControlledEndpoint();
                RawCaller caller = new RawCaller(host.port())) {
            caller.get("/first");
            ControlledEndpoint.Run run = endpoint.awaitRequest();
            host.tickAt(DEADLINE_MILLIS);
            assertThat(caller.readTo("}")).contains("HTTP/1.1 504");
            run.send(RESPONSE);
            run.awaitClose();
            // The end of the attempt is queued after its connection is closed, on the I/O thread.
            host.settle();
            host.settle();
            host.register("e2", other, 4);

            caller.get("/second");
            other.awaitRequest().send(RESPONSE);

            assertThat(caller.readTo("done")).contains("HTTP/1.1 200");
        }
    }

    /** Guards against two open requests with one identifier, of which one gets no answer. */
    @Test
    void twoOpenRequestsWithOneIdentifierAreBothAnswered() throws Exception {
        try (RawCaller first = new RawCaller(host.port());
                RawCaller second = new RawCaller(host.port())) {
            ControlledEndpoint.Run run = runFirstAndRefuseSecond(first, second);

            run.send(RESPONSE);
            assertThat(first.readTo("done")).contains("HTTP/1.1 200");
        }
    }

    /** Guards against a request that is not rejected because one with its identifier has ended before. */
    @Test
    void openRequestIsRejectedAtItsDeadlineAfterAnotherOneWithItsIdentifierWasRefused() throws Exception {
        try (RawCaller first = new RawCaller(host.port());
                RawCaller second = new RawCaller(host.port())) {
            ControlledEndpoint.Run run = runFirstAndRefuseSecond(first, second);
            host.settle();

            host.tickAt(DEADLINE_MILLIS);

            assertThat(first.readTo("}")).contains("HTTP/1.1 504");
            run.close();
        }
    }

    /** Sends two requests with one identifier, of which the first runs and the second must be refused. */
    private ControlledEndpoint.Run runFirstAndRefuseSecond(RawCaller first, RawCaller second) throws Exception {
        first.get("/first");
        ControlledEndpoint.Run run = endpoint.awaitRequest();
        second.get("/second");
        assertThat(second.readTo("}")).contains("HTTP/1.1 503");
        return run;
    }

    private static RequestSpec spec(String id, long deadline) {
        RequestPolicy policy = new RequestPolicy(
                "s", 2, true, false, false, false, 1, OBJECTIVE_MILLIS, Long.MAX_VALUE, PromptShape.NONE);
        return new RequestSpec(
                id,
                null,
                SteppedRequests.TARGET,
                PriorityClass.NORMAL,
                0,
                0,
                "00000000000000d1",
                false,
                null,
                deadline,
                policy);
    }
}
