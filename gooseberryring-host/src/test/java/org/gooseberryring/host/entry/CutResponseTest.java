package org.gooseberryring.host.entry;

import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;

import org.gooseberryring.coordination.request.RequestPolicy;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.PromptShape;
import org.gooseberryring.transport.endpoint.EventCursor;
import org.gooseberryring.transport.endpoint.EventNumbering;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests responses that start while the request thread, which has not heard of the start, ends their requests. */
class CutResponseTest {
    private static final long OBJECTIVE_MILLIS = 400;
    private static final long START_MILLIS = 2_000;
    private static final long DEADLINE_MILLIS = 9_000;
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FIRST_CHUNK = "5\r\nfirst\r\n";
    private static final String REST = "4\r\nlast\r\n0\r\n\r\n";
    private static final String END = "0\r\n\r\n";

    private final SteppedRequests host = new SteppedRequests();
    private final ControlledEndpoint endpoint = new ControlledEndpoint();

    @BeforeEach
    void register() throws Exception {
        host.register("e1", endpoint, 4);
        host.route("/stream", spec("stream", false, true, START_MILLIS));
        host.route("/repeatable", spec("repeatable", true, true, Long.MAX_VALUE));
        host.route("/unbounded", spec("unbounded", false, false, Long.MAX_VALUE));
    }

    @AfterEach
    void close() throws Exception {
        host.close();
        endpoint.close();
    }

    /** Guards against a stream that is cut by the time-out of its start although it has started. */
    @Test
    void startedStreamIsNotCutByItsStartTimeout() throws Exception {
        assertRespondedInWhole("/stream", () -> host.tickAt(START_MILLIS));
    }

    /** Guards against a response that is cut at a deadline at which responses that have started go on. */
    @Test
    void startedResponseIsNotCutAtADeadlineThatOnlyLimitsItsStart() throws Exception {
        assertRespondedInWhole("/unbounded", () -> host.tickAt(DEADLINE_MILLIS));
    }

    /** Guards against a response that is cut because its request leaves an endpoint that seems to be stalled. */
    @Test
    void startedResponseIsNotCutByAMoveToAnotherEndpoint() throws Exception {
        try (ControlledEndpoint other = new ControlledEndpoint();
                RawCaller caller = new RawCaller(host.port())) {
            caller.get("/repeatable");
            ControlledEndpoint.Run run = endpoint.awaitRequest();
            host.register("e2", other, 4);

            assertGoesOn(caller, run, () -> host.tickAt(START_MILLIS));
        }
    }

    /** Guards against a response that is cut before the end of the host although it has started. */
    @Test
    void startedResponseIsNotCutWhenTheHostEndsRunningRequests() throws Exception {
        assertRespondedInWhole("/stream", () -> host.put((engine, now) -> engine.endRunning(now)));
    }

    /** Guards against a rejection that is never carried out, because another one was void. */
    @Test
    void startedStreamIsEndedAtItsDeadlineAfterAVoidStartTimeout() throws Exception {
        try (RawCaller caller = new RawCaller(host.port())) {
            caller.get("/stream");
            ControlledEndpoint.Run run = endpoint.awaitRequest();
            startWhile(() -> host.tickAt(START_MILLIS), caller, run);

            host.tickAt(DEADLINE_MILLIS);

            assertThat(caller.readTo(END)).isEqualTo("<end>");
            run.awaitClose();
        }
    }

    /** Guards against a stream that waits to its deadline for an endpoint that does not continue it. */
    @Test
    void continuedStreamThatDoesNotGoOnInTimeIsCut() throws Exception {
        try (ControlledEndpoint other = new ControlledEndpoint();
                RawCaller caller = new RawCaller(host.port())) {
            ControlledEndpoint.Run run = continued(caller, other);

            host.tickAt(START_MILLIS);
            run.awaitClose();
            host.settle();

            assertThat(caller.readTo(END)).endsWith("a\n\n\r\n<end>");
        }
    }

    /** Guards against a continued stream that is cut because the request thread has not heard that it goes on. */
    @Test
    void continuedStreamThatGoesOnIsNotCutByTheTimeLimitForIt() throws Exception {
        try (ControlledEndpoint other = new ControlledEndpoint();
                RawCaller caller = new RawCaller(host.port())) {
            ControlledEndpoint.Run run = continued(caller, other);
            CountDownLatch held = host.hold();
            host.tickAt(START_MILLIS);
            run.send(STREAM_HEAD + event(2));
            assertThat(caller.readTo("id: 2")).endsWith("id: 2");
            held.countDown();
            host.settle();
            host.settle();

            run.send(event(3) + END);

            assertThat(caller.readTo(END)).contains("id: 3");
        }
    }

    /** Returns the run of the endpoint that is to continue a stream, of which the caller has the first event. */
    private ControlledEndpoint.Run continued(RawCaller caller, ControlledEndpoint other) throws Exception {
        host.route("/resumable", resumable());
        host.readEvents("/resumable", new EventCursor(OptionalLong.empty(), new EventNumbering()));
        caller.get("/resumable");
        ControlledEndpoint.Run first = endpoint.awaitRequest();
        host.register("e2", other, 4);
        first.send(STREAM_HEAD + event(1));
        caller.readTo("id: 1");
        first.send("a\r\nnonsense\n\n\r\n");
        return other.awaitRequest();
    }

    private static String event(int id) {
        return "f\r\nid: " + id + "\ndata: a\n\n\r\n";
    }

    /** Guards against a late response that closes, or is written to, the connection of the caller's next request. */
    @Test
    void lateResponseOfARejectedRequestLeavesItsConnectionAlone() throws Exception {
        try (ControlledEndpoint other = new ControlledEndpoint();
                RawCaller caller = new RawCaller(host.port())) {
            host.register("e1", endpoint, 1);
            caller.get("/unbounded");
            ControlledEndpoint.Run late = endpoint.awaitRequest();
            host.register("e2", other, 1);
            host.tickAt(DEADLINE_MILLIS);
            assertThat(caller.readTo("}")).contains("HTTP/1.1 504");
            host.route("/next", spec("next", false, false, Long.MAX_VALUE, 2 * DEADLINE_MILLIS));
            caller.get("/next");
            ControlledEndpoint.Run next = other.awaitRequest();

            late.send(STREAM_HEAD + FIRST_CHUNK);
            late.close();
            host.settle();
            next.send(STREAM_HEAD + FIRST_CHUNK + REST);

            String received = caller.readTo(END);
            assertThat(received).startsWith("HTTP/1.1 200");
            assertThat(received).contains("first");
            assertThat(received).endsWith(END);
        }
    }

    private void assertRespondedInWhole(String path, Runnable event) throws Exception {
        try (RawCaller caller = new RawCaller(host.port())) {
            caller.get(path);
            assertGoesOn(caller, endpoint.awaitRequest(), event);
        }
    }

    /** Asserts that the caller gets the complete response if it starts after an event, and before the event is handled. */
    private void assertGoesOn(RawCaller caller, ControlledEndpoint.Run run, Runnable event) throws Exception {
        startWhile(event, caller, run);
        run.send(REST);
        String received = caller.readTo(END);
        assertThat(received).contains("last");
        assertThat(received).endsWith(END);
    }

    /** Lets a response start after an event of the request thread was queued, and before that thread handles it. */
    private void startWhile(Runnable event, RawCaller caller, ControlledEndpoint.Run run) throws Exception {
        CountDownLatch held = host.hold();
        event.run();
        run.send(STREAM_HEAD + FIRST_CHUNK);
        assertThat(caller.readTo(FIRST_CHUNK)).contains("HTTP/1.1 200");
        held.countDown();
        host.settle();
        host.settle();
    }

    private static RequestSpec spec(String id, boolean repeatable, boolean endsAtDeadline, long startBy) {
        return spec(id, repeatable, endsAtDeadline, startBy, DEADLINE_MILLIS);
    }

    private static RequestSpec spec(
            String id, boolean repeatable, boolean endsAtDeadline, long startBy, long deadline) {
        RequestPolicy policy = new RequestPolicy(
                "s", 2, true, false, endsAtDeadline, endsAtDeadline, 1, OBJECTIVE_MILLIS, startBy, PromptShape.NONE);
        return spec(id, repeatable, deadline, policy);
    }

    private static RequestSpec resumable() {
        RequestPolicy policy =
                new RequestPolicy("s", 2, true, true, true, true, 1, OBJECTIVE_MILLIS, START_MILLIS, PromptShape.NONE);
        return spec("resumable", true, DEADLINE_MILLIS, policy);
    }

    private static RequestSpec spec(String id, boolean repeatable, long deadline, RequestPolicy policy) {
        return new RequestSpec(
                id,
                null,
                SteppedRequests.TARGET,
                PriorityClass.NORMAL,
                0,
                0,
                "00000000000000d1",
                repeatable,
                null,
                deadline,
                policy);
    }
}
