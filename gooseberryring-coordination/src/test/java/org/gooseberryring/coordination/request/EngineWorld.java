package org.gooseberryring.coordination.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.claim.ClaimResult;
import org.gooseberryring.coordination.crash.CrashingParts;
import org.gooseberryring.coordination.crash.RequestCrash;
import org.gooseberryring.coordination.limit.Admission;
import org.gooseberryring.coordination.limit.TokenAdmission;
import org.gooseberryring.coordination.queue.QueueSettings;
import org.gooseberryring.coordination.retry.CrashSuspects;
import org.gooseberryring.coordination.retry.RetryBudget;
import org.gooseberryring.coordination.retry.RetryPolicy;
import org.gooseberryring.coordination.route.ArtifactLoad;
import org.gooseberryring.coordination.route.Router;
import org.gooseberryring.coordination.route.UnsharedCredits;
import org.gooseberryring.coordination.stream.StreamVersions;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.PriorityClass;
import org.gooseberryring.state.ServiceRoute;
import org.gooseberryring.state.Verdict;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Simulates endpoints, limiter and claim owners around an engine and checks every effect against its own records. */
final class EngineWorld implements TokenAdmission {
    private static final long MAX_RUN_MILLIS = 20_000;
    private static final int CONCURRENCY = 3;
    private static final List<Artifact> ARTIFACTS =
            List.of(new Artifact("m", null, "1"), new Artifact("m", "a", "1"), new Artifact("n", null, "1"));
    private static final Artifact REMOTE = new Artifact("r", null, "1");
    private static final List<String> MODEL_ENDPOINTS = List.of("e0", "e1", "e2");
    private static final List<String> SERVICE_ENDPOINTS = List.of("s0", "s1");

    private record Attempt(String request, int number, String endpoint) {}

    private final Random random;
    private final RequestEngine engine;
    private final FleetUpdateHandler fleet;
    private final Map<String, RequestSpec> specs = new TreeMap<>();
    private final Map<String, Integer> dispatches = new HashMap<>();
    private final Map<String, Integer> answers = new HashMap<>();
    private final Set<String> ran = new HashSet<>();
    private final Set<String> reserved = new HashSet<>();
    private final Set<String> relayed = new HashSet<>();
    private final Set<String> pending = new HashSet<>();
    private final Set<String> settled = new HashSet<>();
    private final Set<String> claimsRequested = new HashSet<>();
    private final Set<String> claimsGranted = new HashSet<>();
    private final Set<String> claimsSettled = new HashSet<>();
    private final Map<String, Set<Artifact>> reported = new HashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private final List<Attempt> inFlight = new ArrayList<>();
    private final List<Attempt> ended = new ArrayList<>();
    private final Set<Attempt> startedAtCaller = new HashSet<>();
    private final List<Attempt> unreportedStarts = new ArrayList<>();
    private final Set<Attempt> endedUnstarted = new HashSet<>();
    private boolean domainIn = true;
    private boolean down;
    private long revision;
    private long sequence;
    private long now = 1_000;

    EngineWorld(long seed) {
        random = new Random(seed);
        Router router = new Router("d0", new Random(seed), new UnsharedCredits());
        RequestQueue queue = new FairRequestQueue(new QueueSettings(8, 5, 50, Map.of()));
        engine = new RequestEngine(
                this,
                queue,
                router,
                new RetryPolicy(new RetryBudget()),
                new CrashSuspects(),
                new CrashingParts("h"),
                new StreamVersions(),
                MAX_RUN_MILLIS);
        fleet = new FleetUpdateHandler(engine, router, queue);
        configure();
    }

    /** Takes one random step. */
    void step() {
        now += random.nextInt(50);
        switch (random.nextInt(16)) {
            case 0, 1, 2, 3 -> arrive();
            case 4, 5 -> endAttempt(false);
            case 6 -> endAttempt(random.nextBoolean());
            case 7 -> resolveClaim(ClaimResult.Decision.values()[random.nextInt(5)]);
            case 8 -> resolveClaim(ClaimResult.Decision.GRANTED);
            case 9 -> decideAdmission(anyRequest(), randomAdmission());
            case 10 -> startResponse();
            case 11 -> disconnectCaller(anyRequest());
            case 12 -> reportLoad(MODEL_ENDPOINTS.get(random.nextInt(3)), random.nextInt(2));
            case 13 -> tickLater(random.nextInt(3_000));
            case 14 -> changeConfiguration();
            default -> rareEvent();
        }
        assertThat(engine.size()).isAtMost(specs.size());
    }

    /** Ends all open requests, then checks that every request ended once and released its resources. */
    void finish() {
        for (int i = 0; i < 20; i++) {
            while (!inFlight.isEmpty()) {
                endAttempt(false);
            }
            tickLater(5_000);
        }
        for (String id : claimsRequested) {
            claimsGranted.add(id);
            check(engine.onClaimResult(id, answer(ClaimResult.Decision.GRANTED), now));
        }
        claimsGranted.stream()
                .filter(id -> !dispatches.containsKey(id))
                .forEach(id -> assertWithMessage("unused claim released")
                        .that(claimsSettled)
                        .contains(id));
        assertThat(engine.size()).isEqualTo(0);
        specs.keySet().forEach(id -> assertWithMessage(id).that(answers.get(id)).isEqualTo(1));
        assertThat(settled).containsExactlyElementsIn(reserved);
    }

    @Override
    public Admission reserve(String requestId, String organisation, long tokens, long at) {
        Admission admission = randomAdmission();
        if (admission.kind() != Admission.Kind.REFUSED) {
            assertThat(reserved.add(requestId)).isTrue();
        }
        if (admission.kind() == Admission.Kind.PENDING) {
            pending.add(requestId);
        }
        return admission;
    }

    @Override
    public void settle(String requestId, long usedTokens, long at) {
        assertWithMessage("settled once").that(settled.add(requestId)).isTrue();
        assertThat(usedTokens).isAtMost(specs.get(requestId).costTokens());
    }

    private void arrive() {
        String id = "q" + specs.size();
        boolean service = random.nextInt(3) == 0;
        RequestTarget target =
                service ? new RequestTarget.ServiceTarget("svc") : new RequestTarget.ModelTarget(anyArtifact());
        RequestSpec spec = new RequestSpec(
                id,
                random.nextInt(5) == 0 ? null : "org",
                target,
                PriorityClass.NORMAL,
                service ? 0 : 100,
                random.nextInt(3),
                "digest" + random.nextInt(20),
                random.nextInt(3) > 0,
                random.nextBoolean() ? "key" + id : null,
                now + random.nextInt(10_000) - 100);
        specs.put(id, spec);
        if (random.nextInt(8) == 0) {
            relayed.add(id);
            check(engine.relayed(spec, now));
            return;
        }
        check(engine.arrived(spec, now));
        if (random.nextInt(8) == 0 && !answers.containsKey(id)) {
            check(engine.arrived(spec, now));
        }
    }

    private void endAttempt(boolean repeated) {
        List<Attempt> from = repeated ? ended : inFlight;
        if (from.isEmpty()) {
            return;
        }
        Attempt attempt = from.get(random.nextInt(from.size()));
        reportStarts();
        inFlight.remove(attempt);
        ended.add(attempt);
        int what = random.nextInt(8);
        boolean lost = what == 0 || what == 1;
        if (!repeated && what != 0 && what != 2) {
            ran.add(attempt.request());
        }
        Verdict verdict = verdict(attempt, what);
        boolean open = answers.getOrDefault(attempt.request(), 0) == 0;
        AttemptOutcome outcome = new AttemptOutcome(verdict, 200, random.nextInt(200), false, lost, 10);
        if (verdict == Verdict.COMPLETED && open && !repeated) {
            answers.merge(attempt.request(), 1, Integer::sum);
        }
        check(engine.attemptEnded(attempt.request(), attempt.number(), outcome, now));
    }

    private Verdict verdict(Attempt attempt, int what) {
        if (what == 2) {
            return Verdict.NOT_RUN;
        }
        return what <= 3 || endedUnstarted.contains(attempt) ? Verdict.MAY_HAVE_RUN : Verdict.COMPLETED;
    }

    private void decideAdmission(String id, Admission decision) {
        boolean decided = decision.kind() != Admission.Kind.PENDING && pending.remove(id) && !settled.contains(id);
        if (decided && decision.kind() == Admission.Kind.REFUSED) {
            reserved.remove(id);
        }
        check(engine.admitted(id, decision, now));
    }

    private void resolveClaim(ClaimResult.Decision decision) {
        List<String> asked = List.copyOf(claimsRequested);
        if (asked.isEmpty()) {
            return;
        }
        String id = asked.get(random.nextInt(asked.size()));
        if (claimsGranted.contains(id) || decision == ClaimResult.Decision.GRANTED && claimsGranted.add(id)) {
            check(engine.onClaimResult(id, answer(ClaimResult.Decision.GRANTED), now));
        } else {
            claimsRequested.remove(id);
            check(engine.onClaimResult(id, answer(decision), now));
        }
    }

    /** Starts a response at a caller; the engine may hear of it later than of other events. */
    private void startResponse() {
        if (inFlight.isEmpty()) {
            return;
        }
        Attempt attempt = inFlight.get(random.nextInt(inFlight.size()));
        boolean isOpen = answers.getOrDefault(attempt.request(), 0) == 0;
        if (isOpen && !endedUnstarted.contains(attempt) && startedAtCaller.add(attempt)) {
            unreportedStarts.add(attempt);
        }
        if (random.nextBoolean()) {
            reportStarts();
        }
    }

    private void reportStarts() {
        List<Attempt> reported = List.copyOf(unreportedStarts);
        unreportedStarts.clear();
        reported.forEach(attempt -> check(engine.onResponseStarted(attempt.request(), attempt.number(), now)));
    }

    private void disconnectCaller(String id) {
        if (specs.containsKey(id)) {
            reportStarts();
            answers.putIfAbsent(id, 1);
            check(engine.callerGone(id, now));
        }
    }

    private void tickLater(long millis) {
        now += millis;
        check(engine.tick(now));
        MODEL_ENDPOINTS.forEach(endpoint -> reportLoad(endpoint, 0));
    }

    private void reportLoad(String endpoint, int incarnation) {
        Set<Artifact> loaded = new HashSet<>(ARTIFACTS.subList(0, 1 + random.nextInt(ARTIFACTS.size())));
        reported.put(endpoint, loaded);
        int running = (int) inFlight.stream()
                .filter(attempt -> endpoint.equals(attempt.endpoint()))
                .count();
        check(fleet.onLoadReport(endpoint, incarnation, running, 0, CONCURRENCY, loaded, 0, now));
    }

    private void changeConfiguration() {
        if (random.nextInt(3) == 0) {
            domainIn = !domainIn;
        }
        leaving.clear();
        List<String> all = new ArrayList<>(MODEL_ENDPOINTS);
        all.addAll(SERVICE_ENDPOINTS);
        all.forEach(id -> {
            if (random.nextInt(4) == 0) {
                leaving.add(id);
            }
        });
        configure();
    }

    private void rareEvent() {
        if (random.nextInt(20) == 0) {
            down = true;
            check(engine.shuttingDown(now));
        } else if (random.nextInt(4) == 0) {
            RequestCrash crash = RequestCrash.withoutEvidence("digest" + random.nextInt(20), 1 + random.nextInt(2));
            check(engine.crashReported("peer", crash, now));
        } else {
            check(fleet.domainSummary("d1", ++sequence, List.of(new ArtifactLoad(REMOTE, 1, 2)), now));
        }
    }

    private void configure() {
        TreeMap<String, Endpoint> endpoints = new TreeMap<>();
        MODEL_ENDPOINTS.forEach(id -> endpoints.put(id, endpoint(id, EndpointKind.MODEL)));
        SERVICE_ENDPOINTS.forEach(id -> endpoints.put(id, endpoint(id, EndpointKind.SERVICE)));
        TreeMap<String, FailureDomain> domains = new TreeMap<>();
        domains.put("d0", new FailureDomain("d0", "r", domainIn));
        domains.put("d1", new FailureDomain("d1", "r", true));
        TreeMap<String, ServiceRoute> services = new TreeMap<>();
        services.put("svc", new ServiceRoute("svc", SERVICE_ENDPOINTS, null, null));
        TreeMap<String, List<Artifact>> placements = new TreeMap<>();
        placements.put("e0", ARTIFACTS);
        check(fleet.configured(
                new FleetConfiguration(++revision, null, null, null, services, domains, endpoints, null, placements),
                now));
    }

    private Endpoint endpoint(String id, EndpointKind kind) {
        return new Endpoint(id, kind, "d0", "127.0.0.1:1", 0, CONCURRENCY, true, leaving.contains(id));
    }

    private void check(List<RequestEffect> effects) {
        for (RequestEffect effect : effects) {
            if (effect instanceof RequestEffect.Dispatch dispatch) {
                checkDispatch(dispatch);
            } else if (effect instanceof RequestEffect.Relay relay) {
                assertThat(relay.failureDomain()).isEqualTo("d1");
                sent(new Attempt(relay.requestId(), relay.attempt(), null));
            } else if (effect instanceof RequestEffect.Refuse refuse) {
                checkRefusal(refuse);
            } else if (effect instanceof RequestEffect.EndUnstarted end) {
                endUnstarted(end);
            } else if (effect instanceof RequestEffect.Replay replay) {
                answers.merge(replay.requestId(), 1, Integer::sum);
            } else if (effect instanceof RequestEffect.Claim claim) {
                assertThat(claimsRequested.add(claim.requestId())).isTrue();
            } else if (effect instanceof RequestEffect.SettleClaim settle) {
                checkSettlement(settle);
            }
        }
        answers.forEach((id, count) -> assertWithMessage(id).that(count).isAtMost(1));
    }

    private void checkDispatch(RequestEffect.Dispatch dispatch) {
        String endpoint = dispatch.endpoint();
        assertWithMessage("failure domain in service").that(domainIn).isTrue();
        assertWithMessage("leaving").that(leaving).doesNotContain(endpoint);
        if (specs.get(dispatch.requestId()).target() instanceof RequestTarget.ModelTarget model) {
            assertWithMessage("confirmed replica").that(reported.get(endpoint)).contains(model.artifact());
        }
        sent(new Attempt(dispatch.requestId(), dispatch.attempt(), endpoint));
        long running = inFlight.stream()
                .filter(attempt -> endpoint.equals(attempt.endpoint()))
                .count();
        assertWithMessage("concurrency of " + endpoint).that(running).isAtMost(CONCURRENCY);
    }

    private void sent(Attempt attempt) {
        RequestSpec spec = specs.get(attempt.request());
        int count = dispatches.merge(attempt.request(), 1, Integer::sum);
        assertWithMessage("sent after the request had ended")
                .that(answers.getOrDefault(attempt.request(), 0))
                .isEqualTo(0);
        if (!spec.idempotent()) {
            assertWithMessage("dispatches").that(count).isEqualTo(1);
        }
        if (!spec.idempotent() && spec.idempotencyKey() != null && !relayed.contains(spec.id())) {
            assertWithMessage("claim").that(claimsGranted).contains(spec.id());
        }
        inFlight.add(attempt);
    }

    private void checkRefusal(RequestEffect.Refuse refuse) {
        String id = refuse.requestId();
        answers.merge(id, 1, Integer::sum);
        if (refuse.verdict() == Verdict.NOT_RUN) {
            assertWithMessage("refused as not run").that(ran).doesNotContain(id);
            boolean running =
                    inFlight.stream().anyMatch(attempt -> attempt.request().equals(id));
            assertWithMessage("still in flight").that(running).isFalse();
        }
        assertThat(refuse.verdict()).isNotEqualTo(Verdict.COMPLETED);
    }

    /** Carries out the end of an attempt, which is void if the response has started. */
    private void endUnstarted(RequestEffect.EndUnstarted end) {
        Attempt running = inFlight.stream()
                .filter(attempt -> attempt.request().equals(end.requestId()))
                .findAny()
                .orElseThrow();
        if (startedAtCaller.contains(running)) {
            return;
        }
        endedUnstarted.add(running);
        if (end.refusal() != null) {
            checkRefusal(end.refusal());
        }
    }

    private void checkSettlement(RequestEffect.SettleClaim settle) {
        assertThat(claimsGranted).contains(settle.requestId());
        assertWithMessage("claim settled once")
                .that(claimsSettled.add(settle.requestId()))
                .isTrue();
        if (settle.verdict() == Verdict.NOT_RUN) {
            assertWithMessage("claim released").that(ran).doesNotContain(settle.requestId());
        }
    }

    private Artifact anyArtifact() {
        int i = random.nextInt(ARTIFACTS.size() + 1);
        return i == ARTIFACTS.size() ? REMOTE : ARTIFACTS.get(i);
    }

    private String anyRequest() {
        return "q" + random.nextInt(Math.max(1, specs.size()));
    }

    private Admission randomAdmission() {
        return switch (random.nextInt(6)) {
            case 0 -> Admission.refused(500);
            case 1 -> Admission.pending();
            default -> Admission.admitted();
        };
    }

    private static ClaimResult answer(ClaimResult.Decision decision) {
        return new ClaimResult(decision, 0, 0, null);
    }
}
