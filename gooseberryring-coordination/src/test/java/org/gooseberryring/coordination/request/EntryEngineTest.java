package org.gooseberryring.coordination.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.gooseberryring.coordination.crash.BrokenAttempt;
import org.gooseberryring.coordination.crash.CrashingParts;
import org.gooseberryring.coordination.crash.PartVerdict;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.crash.RequestPart;
import org.gooseberryring.coordination.direct.DirectRouter;
import org.gooseberryring.coordination.direct.PermittedChoice;
import org.gooseberryring.coordination.limit.SharedLimits;
import org.gooseberryring.coordination.path.EndpointPaths;
import org.gooseberryring.coordination.queue.QueueSettings;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.coordination.retry.RetryAllowance;
import org.gooseberryring.coordination.retry.RouteRetries;
import org.gooseberryring.coordination.route.RouteForecast;
import org.gooseberryring.coordination.stream.StreamVersions;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.PromptShape;
import org.gooseberryring.state.RequestLimits;
import org.gooseberryring.state.RouteTable;
import org.gooseberryring.state.ServiceProfile;
import org.gooseberryring.state.ServingConfiguration;
import org.gooseberryring.state.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Runs the engine with the router, limits and retries of an entry host. */
class EntryEngineTest {
    private static final RequestTarget TARGET = new RequestTarget.RoutedTarget("s", null, null);

    private static final String DIGEST = "00000000000000d1";
    private static final RequestPart REQUEST = RequestPart.ofWhole("s", DIGEST);

    private static final PromptShape CRASHING_PROMPT =
            new PromptShape(List.of(new PromptShape.Part(7, 10), new PromptShape.Part(8, 10)), 20, 1);

    private final CrashingParts parts = new CrashingParts("h");
    private final StreamVersions versions = new StreamVersions();
    private final DirectRouter router =
            new DirectRouter("a", new PermittedChoice(new Random(1)), new EndpointPaths("a", new Random(2)));
    private final RequestEngine engine = new RequestEngine(
            new SharedLimits(8_000),
            new FairRequestQueue(QueueSettings.defaults()),
            router,
            new RouteRetries(new RetryAllowance(10_000, 0.2, 54)),
            CrashSuspects.isolating(),
            parts,
            versions,
            600_000);

    EntryEngineTest() {
        versions.setRegistryCurrent(true);
        TreeMap<String, ServiceProfile> services = new TreeMap<>();
        services.put("s", new ServiceProfile("s", "/h", 100, 0, 0, null));
        router.configured(new ServingConfiguration(
                1,
                new RouteTable(List.of()),
                services,
                new TreeMap<>(),
                Map.of(),
                new RequestLimits(16_384, 1_000_000, 3_000, 15_000)));
    }

    /** Guards against a request that still waits when the process ends and never gets a response. */
    @Test
    void refusesWaitingRequestsWhenTheHostStops() {
        register("e1", 1);
        List<RequestEffect> effects = new ArrayList<>(engine.arrived(spec("run", true, false), 0));
        effects.addAll(engine.arrived(spec("wait", true, false), 0));
        assertThat(effects).containsExactly(new RequestEffect.Dispatch("run", 1, "e1", new RouteForecast(20, 0, 0)));
        engine.shuttingDown(10);
        RequestEffect.Refuse refused =
                (RequestEffect.Refuse) engine.refuseWaiting(20).get(0);
        assertThat(refused.requestId()).isEqualTo("wait");
        assertThat(refused.verdict()).isEqualTo(Verdict.NOT_RUN);
        assertThat(engine.size()).isEqualTo(1);
    }

    /** Guards against a running request whose caller gets no response when the process ends. */
    @Test
    void respondsToRunningRequestsWhenTheHostEnds() {
        register("e1", 1);
        engine.arrived(spec("run", false, false), 0);

        RequestEffect.EndUnstarted end =
                (RequestEffect.EndUnstarted) engine.endRunning(20).get(0);

        assertThat(end.refusal().requestId()).isEqualTo("run");
        assertThat(end.refusal().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(end.cancel()).isEqualTo(new RequestEffect.Cancel("run", 1, "e1"));
        assertThat(engine.endRunning(30)).isEmpty();
    }

    /** Guards against aborting a stream that another endpoint could resume. */
    @Test
    void resumesBrokenStreamAtAnotherEndpoint() {
        register("e1", 4);
        register("e2", 4);
        RequestEffect.Dispatch first = (RequestEffect.Dispatch)
                engine.arrived(spec("q", true, true), 0).get(0);
        engine.onResponseStarted("q", 1, 10);
        RequestEffect.Dispatch second = (RequestEffect.Dispatch)
                engine.attemptEnded("q", 1, new AttemptOutcome(Verdict.MAY_HAVE_RUN, 200, 0, true, false, 5), 20)
                        .get(0);
        assertThat(second.endpoint()).isNotEqualTo(first.endpoint());
        // The stream has started, so the time limit for its start no longer applies.
        assertThat(engine.tick(5_000)).isEmpty();
    }

    /** Guards against a stream that is cut when it is continued, since the time limit for its start has passed. */
    @Test
    void continuesBrokenStreamAfterTheTimeLimitForItsStart() {
        List<RequestEffect> effects = breakStreamAfterItsTimeLimit();

        assertThat(effects.get(0)).isInstanceOf(RequestEffect.Dispatch.class);
        assertThat(engine.tick(5_020)).isEmpty();
        assertThat(engine.tick(9_000).get(0)).isInstanceOf(RequestEffect.Refuse.class);
    }

    /** Guards against a stream that waits to its deadline for an endpoint that does not continue it. */
    @Test
    void continuedStreamThatDoesNotGoOnInTimeIsEnded() {
        breakStreamAfterItsTimeLimit();
        assertThat(engine.tick(7_340)).isEmpty();

        RequestEffect.EndUnstarted end =
                (RequestEffect.EndUnstarted) engine.tick(7_350).get(0);

        assertThat(end.refusal()).isNull();
        assertThat(end.cancel().attempt()).isEqualTo(2);
        AttemptOutcome unstarted = new AttemptOutcome(Verdict.MAY_HAVE_RUN, 0, 0, false, false, -1);
        assertThat(engine.attemptEnded("q", 2, unstarted, 7_360).get(0)).isInstanceOf(RequestEffect.Refuse.class);
    }

    /** Guards against hosts that overfill a brittle endpoint, which still runs a request that was cancelled. */
    @Test
    void cancelledRequestKeepsItsSlotAtABrittleEndpoint() {
        EndpointRegistration registration = register("e1", 1);
        router.setBrittle(registration.process(), true);
        engine.arrived(spec("cancelled", true, false), 0);
        engine.callerGone("cancelled", 10);
        engine.attemptEnded("cancelled", 1, new AttemptOutcome(Verdict.MAY_HAVE_RUN, 0, 0, false, false, -1), 20);

        assertThat(engine.arrived(spec("next", true, false), 30)).isEmpty();
        assertThat(engine.tick(519)).isEmpty();

        assertThat(engine.tick(520).get(0)).isInstanceOf(RequestEffect.Dispatch.class);
    }

    /** Guards against a continued stream that counts as cancelled although it went on before. */
    @Test
    void continuedStreamThatGoesOnInTheMeantimeIsNotEnded() {
        breakStreamAfterItsTimeLimit();
        assertThat(engine.tick(7_350)).hasSize(1);

        engine.onResponseStarted("q", 2, 7_360);

        assertThat(engine.tick(8_990)).isEmpty();
        assertThat(engine.tick(9_000)).hasSize(2);
    }

    /** Guards against an endpoint of another software version that has the identifier or address of a known one. */
    @Test
    void abortsBrokenStreamWhileTheRegistryIsNotCurrent() {
        register("e1", 4);
        register("e2", 4);
        versions.setRegistryCurrent(false);
        engine.arrived(spec("q", true, true), 0);
        engine.onResponseStarted("q", 1, 10);
        List<RequestEffect> effects =
                engine.attemptEnded("q", 1, new AttemptOutcome(Verdict.MAY_HAVE_RUN, 200, 0, true, false, 5), 20);
        assertThat(effects.get(0)).isInstanceOf(RequestEffect.Refuse.class);
    }

    /** Guards against a repeatable request that waits at a hanging endpoint until its caller disconnects. */
    @Test
    void movesRequestFromHangingEndpoint() {
        register("e1", 4);
        engine.arrived(spec("q", true, false), 0);
        register("e2", 4);
        assertThat(engine.tick(500)).isEmpty();
        assertThat(engine.tick(1_500))
                .containsExactly(new RequestEffect.EndUnstarted("q", null, new RequestEffect.Cancel("q", 1, "e1")));
        AttemptOutcome cancelled = new AttemptOutcome(Verdict.MAY_HAVE_RUN, 0, 0, false, false, -1);
        assertThat(engine.attemptEnded("q", 1, cancelled, 1_510))
                .containsExactly(new RequestEffect.Dispatch("q", 2, "e2", new RouteForecast(20, 0, 0)));
        engine.arrived(spec("once", false, false), 1_600);
        assertThat(engine.tick(4_000)).isEmpty();
    }

    /** Guards against a caller that abandons a stream that never started, while the endpoint keeps running it. */
    @Test
    void refusesUnstartedStreamBeforeItsCallerDisconnects() {
        register("e1", 4);
        RequestPolicy handling = new RequestPolicy("s", 1, true, false, true, true, 1, 400, 2_350, PromptShape.NONE);
        engine.arrived(
                new RequestSpec("q", null, TARGET, PriorityClass.NORMAL, 0, 0, DIGEST, false, null, 9_000, handling),
                0);
        assertThat(engine.tick(2_340)).isEmpty();
        RequestEffect.EndUnstarted end =
                (RequestEffect.EndUnstarted) engine.tick(2_360).get(0);
        assertThat(end.refusal().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(end.cancel()).isEqualTo(new RequestEffect.Cancel("q", 1, "e1"));
    }

    /** Guards against a request that crashes endpoint after endpoint on all hosts. */
    @Test
    void refusesRequestThatCrashedThreeEndpoints() {
        register("e1", 4);
        for (int i = 0; i < 3; i++) {
            BrokenAttempt attempt = new BrokenAttempt("p", DIGEST, REQUEST, List.of(), 10, 0);
            engine.endpointCrashed(new EndpointProcess("start-" + i, 1), attempt, i * 600L);
        }
        engine.tick(2_000);
        RequestEffect.Refuse refused = (RequestEffect.Refuse)
                engine.arrived(spec("q", true, false), 5_000).get(0);
        assertThat(refused.verdict()).isEqualTo(Verdict.NOT_RUN);
    }

    /**
     * Guards against refusing a sound request that many callers repeat, because it is in flight at all hosts when two
     * endpoints crash: each host reports the same crashes.
     */
    @Test
    void servesRepeatedRequestAfterEachHostHasReportedTheSameCrashes() {
        register("e1", 4);
        for (int host = 0; host < 7; host++) {
            for (int i = 0; i < 2; i++) {
                RequestCrash crash = new RequestCrash(DIGEST, i + 1, new EndpointProcess("lost-" + i, 1), REQUEST);
                engine.crashReported("host-" + host, crash, 10);
            }
        }
        engine.tick(2_000);
        assertThat(engine.arrived(spec("q", true, false), 5_000))
                .contains(new RequestEffect.Dispatch("q", 1, "e1", new RouteForecast(20, 0, 0)));
    }

    /** Guards against a trial request that is rejected because its first endpoint has just gone. */
    @Test
    void trialThatDidNotReachAnEndpointIsSentToAnother() {
        register("e1", 4);
        register("e2", 4);
        PartVerdict doubtful = new PartVerdict(new RequestPart("s", 7), 1, false, 0);
        parts.onVerdictReported("other", doubtful, 0);
        RequestPolicy handling =
                new RequestPolicy("s", 2, true, false, true, true, 1, 9_000, Long.MAX_VALUE, CRASHING_PROMPT);
        RequestSpec trial =
                new RequestSpec("q", null, TARGET, PriorityClass.NORMAL, 0, 0, DIGEST, false, null, 12_000, handling);
        assertThat(engine.arrived(trial, 3_000).stream().filter(RequestEffect.Dispatch.class::isInstance))
                .hasSize(1);

        AttemptOutcome notConnected = new AttemptOutcome(Verdict.NOT_RUN, 0, 0, false, true, -1, false, 1);

        assertThat(engine.attemptEnded("q", 1, notConnected, 3_010).stream()
                        .filter(RequestEffect.Dispatch.class::isInstance))
                .hasSize(1);
    }

    /** Guards against a response that continues past the deadline of its route. */
    @Test
    void abortsResponseAtItsDeadline() {
        register("e1", 4);
        engine.arrived(spec("q", true, true), 0);
        engine.onResponseStarted("q", 1, 10);
        List<RequestEffect> effects = engine.tick(9_000);
        assertThat(effects.get(0)).isInstanceOf(RequestEffect.Refuse.class);
        assertThat(effects).contains(new RequestEffect.Cancel("q", 1, "e1"));
    }

    /** Guards against a response that is cut before its caller leaves, since the request may have waited to be read. */
    @Test
    void startedResponseIsNotCutWhileItsRequestMayBeYoungerThanAssumed() {
        register("e1", 4);
        RequestPolicy handling = new RequestPolicy(
                "s", 2, true, false, true, true, 1, 400, Long.MAX_VALUE, PromptShape.NONE, null, 1_200);
        engine.arrived(
                new RequestSpec("q", null, TARGET, PriorityClass.NORMAL, 0, 0, DIGEST, true, null, 8_000, handling), 0);
        engine.onResponseStarted("q", 1, 10);

        assertThat(engine.tick(9_190)).isEmpty();
        assertThat(engine.tick(9_200).get(0)).isInstanceOf(RequestEffect.Refuse.class);
    }

    /** Breaks a resumable stream at 5.0 s, which had to start by 2.35 s and has a deadline of 9 s. */
    private List<RequestEffect> breakStreamAfterItsTimeLimit() {
        register("e1", 4);
        register("e2", 4);
        RequestPolicy handling = new RequestPolicy("s", 2, true, true, true, true, 1, 400, 2_350, PromptShape.NONE);
        engine.arrived(
                new RequestSpec("q", null, TARGET, PriorityClass.NORMAL, 0, 0, DIGEST, true, null, 9_000, handling), 0);
        engine.onResponseStarted("q", 1, 10);
        return engine.attemptEnded("q", 1, new AttemptOutcome(Verdict.MAY_HAVE_RUN, 200, 0, true, false, 5), 5_000);
    }

    private EndpointRegistration register(String id, int slots) {
        EndpointRegistration registration =
                new EndpointRegistration(id, "s", "10.0.0.1:80", "a", slots, false, 0, 0, List.of());
        router.onEndpointRegistered(registration, 0);
        return registration;
    }

    private static RequestSpec spec(String id, boolean idempotent, boolean resumable) {
        RequestPolicy handling =
                new RequestPolicy("s", 2, true, resumable, true, true, 1, 400, Long.MAX_VALUE, PromptShape.NONE);
        return new RequestSpec(id, null, TARGET, PriorityClass.NORMAL, 0, 0, DIGEST, idempotent, null, 8_000, handling);
    }
}
