package org.gooseberryring.coordination.direct;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.path.EndpointPaths;
import org.gooseberryring.coordination.path.HostReach;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ModelProfile;
import org.gooseberryring.state.PromptShape;
import org.gooseberryring.state.RequestLimits;
import org.gooseberryring.state.ResidentModel;
import org.gooseberryring.state.RouteTable;
import org.gooseberryring.state.ServiceProfile;
import org.gooseberryring.state.ServingConfiguration;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DirectRouterTest {
    private static final RequestTarget.RoutedTarget MODEL = new RequestTarget.RoutedTarget("llm", "m", null);
    private static final RequestTarget.RoutedTarget ADAPTER = new RequestTarget.RoutedTarget("llm", "m", "a1");
    private static final RequestTarget.RoutedTarget PLAIN = new RequestTarget.RoutedTarget("orders", null, null);
    private static final PromptShape PROMPT = new PromptShape(
            List.of(new PromptShape.Part(1, 2_000), new PromptShape.Part(2, 3_000), new PromptShape.Part(3, 500)),
            5_500,
            200);

    private final DirectRouter router =
            new DirectRouter("a", new PermittedChoice(new Random(5)), new EndpointPaths("a", new Random(15)));

    DirectRouterTest() {
        router.configured(configuration());
        router.onEndpointRegistered(engine("e1", "a", 0), 0);
        router.onEndpointRegistered(engine("e2", "b", 0), 0);
    }

    /** Guards against processing a prompt again although an endpoint has most of its parts cached. */
    @Test
    void prefersEndpointThatCachedPromptParts() {
        RouteQuery first = query(MODEL, PROMPT);
        String chosen = router.choose(first, 0).id();
        router.onAttemptStarted(chosen, first, 0);
        router.onFirstByte(chosen, first, 100);
        router.onAttemptEnded(chosen, first, 200);
        PromptShape similar = new PromptShape(
                List.of(new PromptShape.Part(1, 2_000), new PromptShape.Part(2, 3_000), new PromptShape.Part(9, 400)),
                5_400,
                200);
        for (int i = 0; i < 20; i++) {
            assertThat(router.choose(query(MODEL, similar), 300).id()).isEqualTo(chosen);
        }
    }

    /** Guards against hosts that each have the same parts processed by a different endpoint. */
    @Test
    void sendsPromptsWhereTheirPartsAreKeptForOtherHosts() {
        DirectRouter other =
                new DirectRouter("b", new PermittedChoice(new Random(6)), new EndpointPaths("b", new Random(16)));
        other.configured(configuration());
        other.onEndpointRegistered(engine("e2", "b", 0), 0);
        RouteQuery first = query(MODEL, PROMPT);
        other.onAttemptStarted("e2", first, 0);

        router.recordPlacements(other.takePlacements());

        assertThat(router.choose(first, 300).id()).isEqualTo("e2");
        assertThat(other.takePlacements()).isEmpty();
    }

    /** Guards against requests rejected as too late at an endpoint that this host has not measured yet. */
    @Test
    void usesRateOfServiceForUnmeasuredEndpoint() {
        for (int i = 0; i < 30; i++) {
            PromptShape prompt = new PromptShape(List.of(new PromptShape.Part(100 + i, 5_000)), 5_000, 100);
            RouteQuery each = query(MODEL, prompt);
            router.onAttemptStarted("e1", each, i * 1_000);
            router.onFirstByte("e1", each, i * 1_000 + 1_020);
            router.onAttemptEnded("e1", each, i * 1_000 + 1_100);
        }

        long expected =
                router.onAttemptStarted("e2", query(MODEL, PROMPT), 40_000).startMillis();

        // 5,500 tokens at the 5 tokens per millisecond measured on e1.
        assertThat(expected).isAtLeast(1_000);
        assertThat(expected).isAtMost(1_200);
    }

    /** Guards against counting parts as cached after their model was unloaded. */
    @Test
    void removesCachedPartsOfUnloadedModel() {
        RouteQuery first = query(MODEL, PROMPT);
        router.onAttemptStarted("e2", first, 0);
        router.onAttemptEnded("e2", first, 200);
        assertThat(router.choose(first, 300).id()).isEqualTo("e2");

        router.onResidentModelsReported("e2", List.of(), 400);
        router.onResidentModelsReported("e2", List.of(new ResidentModel("m", Set.of())), 500);

        assertThat(router.choose(first, 600).id()).isEqualTo("e1");
    }

    /** Guards against cached parts that attract all requests to an endpoint with a long queue. */
    @Test
    void avoidsEndpointWhoseQueueCostsMoreThanCachedPartsSave() {
        RouteQuery first = query(MODEL, PROMPT);
        String chosen = router.choose(first, 0).id();
        router.onAttemptStarted(chosen, first, 0);
        router.updateUse("other", Map.of(chosen, new EndpointUse(5, 30_000, 35_000)), true);
        assertThat(router.choose(query(MODEL, PROMPT), 10).id()).isNotEqualTo(chosen);
    }

    /** Guards against new requests to endpoints that are draining, removed or in a failure domain out of service. */
    @Test
    void sendsNoRequestsToEndpointsOutOfService() {
        router.setDomainsOut(Set.of("a"));
        assertThat(router.choose(query(MODEL, PROMPT), 0).id()).isEqualTo("e2");
        router.setDomainsOut(Set.of());
        router.onEndpointRemoved("e2");
        assertThat(router.choose(query(MODEL, PROMPT), 0).id()).isEqualTo("e1");
        EndpointRegistration e1 = engine("e1", "a", 0);
        router.onEndpointRegistered(
                new EndpointRegistration(e1.id(), e1.service(), e1.address(), "a", e1.slots(), true, 0, 0, e1.models()),
                1);
        assertThat(router.choose(query(MODEL, PROMPT), 1)).isEqualTo(RouteChoice.UNREACHABLE);
    }

    /** Guards against eight hosts that together exceed the rate limit of a cold endpoint. */
    @Test
    void hostsTogetherStayBelowTheRateOfAColdEndpoint() {
        int sent = 0;
        for (int host = 0; host < 8; host++) {
            DirectRouter each = new DirectRouter(
                    "a", new PermittedChoice(new Random(host)), new EndpointPaths("a", new Random(host)));
            each.configured(configuration());
            each.onEndpointRegistered(engine("cold", "a", 5_000), 0);
            each.setHostShare(new FleetShare(host, 8));
            for (long now = 500; now < 1_500; now += 5) {
                RouteQuery query = query(MODEL, PromptShape.NONE);
                if (each.choose(query, now).kind() == RouteChoice.Kind.ENDPOINT) {
                    each.onAttemptStarted("cold", query, now);
                    sent++;
                }
            }
        }
        // The platform tolerates 1.5 times the rate of 6.9 plus 5 requests in one second.
        assertThat((double) sent).isAtMost(6.9 * 1.5 + 5);
        assertThat(sent).isAtLeast(6);
    }

    /** Guards against requests that wait for an adapter that no controller is requested to load. */
    @Test
    void requestsLoadOfMissingAdapterAndWaits() {
        assertThat(router.choose(query(ADAPTER, PROMPT), 0)).isEqualTo(RouteChoice.WAIT);
        assertThat(router.takeRequestedArtifacts()).containsExactly(RequestedArtifact.ofAnyVersion(ADAPTER));
        assertThat(router.takeRequestedArtifacts()).isEmpty();
        router.onResidentModelsReported("e2", List.of(new ResidentModel("m", Set.of("a1"))), 20);
        assertThat(router.choose(query(ADAPTER, PROMPT), 20).id()).isEqualTo("e2");
    }

    /** Guards against a stream that cannot go on because no endpoint of its software version has loaded its model. */
    @Test
    void requestsReplicaOnTheSoftwareVersionOfTheStream() {
        RequestTarget.RoutedTarget other = new RequestTarget.RoutedTarget("llm", "n", null);
        router.onEndpointRegistered(engine("e3", "a", "v2", "n"), 0);
        router.onEndpointRegistered(engine("e4", "a", "v1", "m"), 0);
        RouteQuery bound = new RouteQuery("r", other, 0, false, false, PROMPT, 9_000, 20_000, Set.of(), "v1");

        assertThat(router.choose(bound, 0)).isEqualTo(RouteChoice.WAIT);
        assertThat(router.takeRequestedArtifacts()).containsExactly(new RequestedArtifact(other, "v1"));
        router.onResidentModelsReported("e4", List.of(new ResidentModel("n", Set.of())), 2_000);
        assertThat(router.choose(bound, 2_000).id()).isEqualTo("e4");
    }

    /** Guards against a caller that waits although no endpoint of the software version of its stream will serve it. */
    @Test
    void rejectsStreamWhoseSoftwareVersionCannotServeIt() {
        RequestTarget.RoutedTarget other = new RequestTarget.RoutedTarget("llm", "n", null);
        router.onEndpointRegistered(engine("e3", "a", "v2", "n"), 0);
        RouteQuery gone = new RouteQuery("r", other, 0, false, false, PROMPT, 9_000, 20_000, Set.of(), "v1");
        assertThat(router.choose(gone, 0).cause()).isEqualTo(RouteChoice.Cause.NO_VERSION);

        router.onEndpointRegistered(engine("e4", "a", "v1", "m"), 0);
        assertThat(router.choose(gone, 0)).isEqualTo(RouteChoice.WAIT);
        // The load takes 4 s; one that has not come after twice the time is not expected any more.
        assertThat(router.choose(gone, 8_000).cause()).isEqualTo(RouteChoice.Cause.NO_VERSION);
    }

    /** Guards against callers that wait for a model whose load takes longer than their time-out. */
    @Test
    void rejectsAtOnceIfModelCannotBeLoadedInTime() {
        RequestTarget.RoutedTarget absent = new RequestTarget.RoutedTarget("llm", "n", null);
        RouteQuery impatient = new RouteQuery("r", absent, 0, false, false, PROMPT, 400, 2_400, Set.of());
        RouteChoice refused = router.choose(impatient, 0);
        assertThat(refused.kind()).isEqualTo(RouteChoice.Kind.UNREACHABLE);
        assertThat(refused.availableMillis()).isEqualTo(4_000);
        assertThat(router.takeRequestedArtifacts()).containsExactly(RequestedArtifact.ofAnyVersion(absent));
        RouteQuery patient = new RouteQuery("r", absent, 0, false, false, PROMPT, 4_000, 16_000, Set.of());
        assertThat(router.choose(patient, 0)).isEqualTo(RouteChoice.WAIT);
        RequestTarget.RoutedTarget unknown = new RequestTarget.RoutedTarget("llm", "x", null);
        assertThat(router.choose(query(unknown, PROMPT), 0)).isEqualTo(RouteChoice.UNREACHABLE);
    }

    /** Guards against sending request after request to an unreachable endpoint. */
    @Test
    void excludesLostEndpointAndProbesItLater() {
        router.onEndpointLost("e1", router.lossEpoch("e1"), 0);
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 10).id()).isEqualTo("e2");
        router.onEndpointRemoved("e2");
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 10)).isEqualTo(RouteChoice.WAIT);
        RouteQuery trial = query(MODEL, PromptShape.NONE);
        assertThat(router.choose(trial, 300).id()).isEqualTo("e1");
        router.onAttemptStarted("e1", trial, 300);
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 310)).isEqualTo(RouteChoice.WAIT);
    }

    /** Guards against all hosts sending request after request to an endpoint that hangs. */
    @Test
    void avoidsEndpointThatDoesNotRespond() {
        router.setDomainsOut(Set.of("b"));
        RouteQuery hung = query(MODEL, PROMPT);
        router.onAttemptStarted("e1", hung, 0);
        router.setDomainsOut(Set.of());
        assertThat(router.uses(1_000).get("e1").stalled()).isFalse();
        assertThat(router.uses(3_000).get("e1").stalled()).isFalse();
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 3_000).id()).isEqualTo("e2");
        assertThat(router.paths().takeChecks(3_000)).containsExactly("e1");
        router.paths().onChecked("e1", true, 3_005);
        assertThat(router.uses(3_010).get("e1").stalled()).isTrue();
        router.onAttemptEnded("e1", hung, 3_100);
        router.onEndpointRemoved("e2");
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 3_110)).isEqualTo(RouteChoice.WAIT);
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 3_500).id()).isEqualTo("e1");
        router.updateUse("other", Map.of("e1", new EndpointUse(1, 0, 0, true)), true);
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 3_500)).isEqualTo(RouteChoice.WAIT);
    }

    /** Guards against a host without a path to an endpoint that makes all hosts avoid the endpoint. */
    @Test
    void requestsOnALostPathSayNothingAboutTheEndpoint() {
        router.onEndpointRemoved("e2");
        router.onAttemptStarted("e1", query(MODEL, PROMPT), 0);
        assertThat(router.uses(3_000).get("e1").stalled()).isFalse();
        assertThat(router.paths().takeChecks(3_000)).containsExactly("e1");
        router.paths().onHostReport("h2", new HostReach("a", "h2:1", 1, false, Set.of()), 3_000);
        router.paths().onChecked("e1", false, 3_400);
        router.onPathsChanged();
        assertThat(router.uses(3_400).get("e1").stalled()).isFalse();
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 3_400).id()).isEqualTo("e1");
        assertThat(router.via("e1", 3_400)).isEqualTo("h2");
    }

    /** Guards against plain requests that queue at one endpoint while others have free capacity. */
    @Test
    void spreadsPlainRequestsBySlotUtilisation() {
        router.onEndpointRegistered(service("s1"), 0);
        router.onEndpointRegistered(service("s2"), 0);
        router.updateUse("other", Map.of("s1", new EndpointUse(4, 0, 0)), true);
        assertThat(router.choose(query(PLAIN, PromptShape.NONE), 0).id()).isEqualTo("s2");
        router.updateUse("other", Map.of("s1", new EndpointUse(6, 0, 0), "s2", new EndpointUse(6, 0, 0)), true);
        assertThat(router.choose(query(PLAIN, PromptShape.NONE), 0)).isEqualTo(RouteChoice.WAIT);
        router.onHostRemoved("other");
        assertThat(router.choose(query(PLAIN, PromptShape.NONE), 0).kind()).isEqualTo(RouteChoice.Kind.ENDPOINT);
    }

    /** Guards against requests to an endpoint in back-off, and against callers that wait past their time-out for it. */
    @Test
    void leavesAnEndpointAloneForAsLongAsItAsks() {
        router.backOff(new EndpointProcess("e1", 1), 2_000);
        for (int i = 0; i < 20; i++) {
            RouteQuery each = query(MODEL, PROMPT);
            assertThat(router.choose(each, 100 + i).id()).isEqualTo("e2");
            router.onAttemptStarted("e2", each, 100 + i);
        }
        router.backOff(new EndpointProcess("e2", 1), 90_000);
        RouteQuery patient = new RouteQuery("r", MODEL, 0, false, false, PROMPT, 5_000, 10_000, Set.of());
        assertThat(router.choose(patient, 500)).isEqualTo(RouteChoice.WAIT);
        router.backOff(new EndpointProcess("e1", 1), 91_000);
        RouteChoice refused = router.choose(patient, 500);
        assertThat(refused.cause()).isEqualTo(RouteChoice.Cause.BACK_OFF);
        assertThat(refused.availableMillis()).isEqualTo(89_500);
    }

    /** Guards against the back-off or the failures of an earlier process that count against the next one. */
    @Test
    void clearsStateOfEarlierProcess() {
        router.onEndpointRemoved("e2");
        router.backOff(new EndpointProcess("e1", 1), 90_000);
        router.onEndpointLost("e1", router.lossEpoch("e1"), 100);
        assertThat(router.choose(query(MODEL, PROMPT), 200).kind()).isNotEqualTo(RouteChoice.Kind.ENDPOINT);
        router.onEndpointRegistered(engine("e1", "a", 0, 2), 200);
        assertThat(router.choose(query(MODEL, PROMPT), 200).id()).isEqualTo("e1");
        router.backOff(new EndpointProcess("e1", 1), 90_000);
        assertThat(router.choose(query(MODEL, PROMPT), 200).id()).isEqualTo("e1");
    }

    /** Guards against counting requests rejected during back-off as failures of the endpoint. */
    @Test
    void countsNoFailureDuringBackOff() {
        router.backOff(new EndpointProcess("e1", 1), 2_000);
        for (int i = 0; i < 10; i++) {
            router.onAttemptFailed("e1", 1_000);
        }
        router.onEndpointRemoved("e2");
        router.onEndpointRegistered(engine("e3", "b", 0), 3_000);
        assertThat(router.choose(query(MODEL, PROMPT), 3_000).id()).isEqualTo("e1");
    }

    private static RouteQuery query(RequestTarget.RoutedTarget target, PromptShape prompt) {
        return new RouteQuery("r", target, 0, false, false, prompt, Long.MAX_VALUE, Long.MAX_VALUE, Set.of());
    }

    private static EndpointRegistration engine(String id, String domain, long coldMillis) {
        return engine(id, domain, coldMillis, 1);
    }

    private static EndpointRegistration engine(String id, String domain, long coldMillis, long bornMillis) {
        List<ResidentModel> models = List.of(new ResidentModel("m", Set.of()));
        return new EndpointRegistration(id, "llm", "10.0.0.1:80", domain, 64, false, coldMillis, bornMillis, models);
    }

    private static EndpointRegistration engine(String id, String domain, String version, String model) {
        List<ResidentModel> models = List.of(new ResidentModel(model, Set.of()));
        return new EndpointRegistration(id, "llm", "10.0.0.1:80", domain, 64, false, 0, 1, models, version);
    }

    private static EndpointRegistration service(String id) {
        return new EndpointRegistration(id, "orders", "10.0.0.2:80", "a", 6, false, 0, 0, List.of());
    }

    private static ServingConfiguration configuration() {
        TreeMap<String, ModelProfile> models = new TreeMap<>();
        models.put("m", new ModelProfile("m", 65_000, 4_000, 400, 800, 4, 10));
        models.put("n", new ModelProfile("n", 65_000, 4_000, 400, 800, 0, 0));
        TreeMap<String, ServiceProfile> services = new TreeMap<>();
        services.put(
                "llm",
                new ServiceProfile(
                        "llm", "/h", 360, 3_000, 6.9, new EngineProfile(64, 240_000, 220_000, 8, 1.4, models)));
        services.put("orders", new ServiceProfile("orders", "/h", 100, 0, 0, null));
        return new ServingConfiguration(
                1,
                new RouteTable(List.of()),
                services,
                new TreeMap<>(),
                Map.of(),
                new RequestLimits(16_384, 4_000_000, 3_000, 15_000));
    }
}
