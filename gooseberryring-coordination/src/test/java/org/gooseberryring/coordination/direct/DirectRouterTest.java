package org.gooseberryring.coordination.direct;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.request.RequestTarget;
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

    private final DirectRouter router = new DirectRouter("a", new Random(5));

    DirectRouterTest() {
        router.configured(configuration());
        router.registered(engine("e1", "a", 0), 0);
        router.registered(engine("e2", "b", 0), 0);
    }

    /** Guards against prompts that are read again although an endpoint keeps most of them. */
    @Test
    void sendsPromptsWhereTheirPartsAreKept() {
        RouteQuery first = query(MODEL, PROMPT);
        String chosen = router.choose(first, 0).id();
        router.started(chosen, first, 0);
        router.onFirstByte(chosen, first, 100);
        router.ended(chosen, first, 200);
        PromptShape similar = new PromptShape(
                List.of(new PromptShape.Part(1, 2_000), new PromptShape.Part(2, 3_000), new PromptShape.Part(9, 400)),
                5_400,
                200);
        for (int i = 0; i < 20; i++) {
            assertThat(router.choose(query(MODEL, similar), 300).id()).isEqualTo(chosen);
        }
    }

    /** Guards against hosts that each let another endpoint read what one has read for the others. */
    @Test
    void sendsPromptsWhereTheirPartsAreKeptForOtherHosts() {
        DirectRouter other = new DirectRouter("b", new Random(6));
        other.configured(configuration());
        other.registered(engine("e2", "b", 0), 0);
        RouteQuery first = query(MODEL, PROMPT);
        other.started("e2", first, 0);

        router.placedBy(other.takePlacements());

        assertThat(router.choose(first, 300).id()).isEqualTo("e2");
        assertThat(other.takePlacements()).isEmpty();
    }

    /** Guards against requests refused as too late at an endpoint whose pace this host has not seen yet. */
    @Test
    void takesAnEndpointToReadAsFastAsTheOthersOfItsService() {
        for (int i = 0; i < 30; i++) {
            PromptShape prompt = new PromptShape(List.of(new PromptShape.Part(100 + i, 5_000)), 5_000, 100);
            RouteQuery each = query(MODEL, prompt);
            router.started("e1", each, i * 1_000);
            router.onFirstByte("e1", each, i * 1_000 + 1_020);
            router.ended("e1", each, i * 1_000 + 1_100);
        }

        long expected = router.started("e2", query(MODEL, PROMPT), 40_000).startMillis();

        // 5,500 tokens at the 5 tokens a millisecond that e1 has shown.
        assertThat(expected).isAtLeast(1_000);
        assertThat(expected).isAtMost(1_200);
    }

    /** Guards against an estimate that counts parts as kept whose model was unloaded meanwhile. */
    @Test
    void forgetsThePartsOfAModelThatWasUnloaded() {
        RouteQuery first = query(MODEL, PROMPT);
        router.started("e2", first, 0);
        router.ended("e2", first, 200);
        assertThat(router.choose(first, 300).id()).isEqualTo("e2");

        router.holds("e2", List.of(), 400);
        router.holds("e2", List.of(new ResidentModel("m", Set.of())), 500);

        assertThat(router.choose(first, 600).id()).isEqualTo("e1");
    }

    /** Guards against a kept prompt that draws all requests to an endpoint with a long queue. */
    @Test
    void leavesAnEndpointWhoseQueueCostsMoreThanTheKeptPartsSave() {
        RouteQuery first = query(MODEL, PROMPT);
        String chosen = router.choose(first, 0).id();
        router.started(chosen, first, 0);
        router.usedBy("other", Map.of(chosen, new EndpointUse(5, 30_000, 35_000)), true);
        assertThat(router.choose(query(MODEL, PROMPT), 10).id()).isNotEqualTo(chosen);
    }

    /** Guards against new work for endpoints that leave, are gone or lie in a failure domain out of service. */
    @Test
    void givesNoWorkToEndpointsOutOfService() {
        router.domainsOut(Set.of("a"));
        assertThat(router.choose(query(MODEL, PROMPT), 0).id()).isEqualTo("e2");
        router.domainsOut(Set.of());
        router.unregistered("e2");
        assertThat(router.choose(query(MODEL, PROMPT), 0).id()).isEqualTo("e1");
        EndpointRegistration e1 = engine("e1", "a", 0);
        router.registered(
                new EndpointRegistration(e1.id(), e1.service(), e1.address(), "a", e1.slots(), true, 0, 0, e1.models()),
                1);
        assertThat(router.choose(query(MODEL, PROMPT), 1)).isEqualTo(RouteChoice.UNREACHABLE);
    }

    /** Guards against eight hosts that send more to a cold endpoint together than it bears in a second. */
    @Test
    void hostsTogetherStayBelowTheRateOfAColdEndpoint() {
        int sent = 0;
        for (int host = 0; host < 8; host++) {
            DirectRouter each = new DirectRouter("a", new Random(host));
            each.configured(configuration());
            each.registered(engine("cold", "a", 5_000), 0);
            each.share(new FleetShare(host, 8));
            for (long now = 500; now < 1_500; now += 5) {
                RouteQuery query = query(MODEL, PromptShape.NONE);
                if (each.choose(query, now).kind() == RouteChoice.Kind.ENDPOINT) {
                    each.started("cold", query, now);
                    sent++;
                }
            }
        }
        // The installation tolerates one and a half times the rate of 6.9 and 5 more in a second.
        assertThat((double) sent).isAtMost(6.9 * 1.5 + 5);
        assertThat(sent).isAtLeast(6);
    }

    /** Guards against requests that wait for an adapter nobody is asked to load. */
    @Test
    void waitsForAnAdapterAndNamesIt() {
        assertThat(router.choose(query(ADAPTER, PROMPT), 0)).isEqualTo(RouteChoice.WAIT);
        assertThat(router.takeWanted()).containsExactly(ADAPTER);
        assertThat(router.takeWanted()).isEmpty();
        router.holds("e2", List.of(new ResidentModel("m", Set.of("a1"))), 20);
        assertThat(router.choose(query(ADAPTER, PROMPT), 20).id()).isEqualTo("e2");
    }

    /** Guards against callers that wait in vain for a model whose load takes longer than they wait. */
    @Test
    void refusesAtOnceWhatCannotBeLoadedInTime() {
        RequestTarget.RoutedTarget absent = new RequestTarget.RoutedTarget("llm", "n", null);
        RouteQuery impatient = new RouteQuery(absent, 0, false, false, PROMPT, 400, 2_400, Set.of());
        RouteChoice refused = router.choose(impatient, 0);
        assertThat(refused.kind()).isEqualTo(RouteChoice.Kind.UNREACHABLE);
        assertThat(refused.availableMillis()).isEqualTo(4_000);
        assertThat(router.takeWanted()).containsExactly(absent);
        RouteQuery patient = new RouteQuery(absent, 0, false, false, PROMPT, 4_000, 16_000, Set.of());
        assertThat(router.choose(patient, 0)).isEqualTo(RouteChoice.WAIT);
        RequestTarget.RoutedTarget unknown = new RequestTarget.RoutedTarget("llm", "x", null);
        assertThat(router.choose(query(unknown, PROMPT), 0)).isEqualTo(RouteChoice.UNREACHABLE);
    }

    /** Guards against an endpoint that cannot be reached and takes request after request. */
    @Test
    void leavesOutAnEndpointThatWasLostAndTriesItAgainLater() {
        router.lost("e1", router.lossEpoch("e1"), 0);
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 10).id()).isEqualTo("e2");
        router.unregistered("e2");
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 10)).isEqualTo(RouteChoice.WAIT);
        RouteQuery trial = query(MODEL, PromptShape.NONE);
        assertThat(router.choose(trial, 300).id()).isEqualTo("e1");
        router.started("e1", trial, 300);
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 310)).isEqualTo(RouteChoice.WAIT);
    }

    /** Guards against an endpoint that hangs and takes request after request from all hosts. */
    @Test
    void avoidsAnEndpointThatDoesNotAnswer() {
        router.domainsOut(Set.of("b"));
        RouteQuery hung = query(MODEL, PROMPT);
        router.started("e1", hung, 0);
        router.domainsOut(Set.of());
        assertThat(router.uses(1_000).get("e1").stalled()).isFalse();
        assertThat(router.uses(3_000).get("e1").stalled()).isTrue();
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 3_000).id()).isEqualTo("e2");
        router.ended("e1", hung, 3_100);
        router.unregistered("e2");
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 3_110)).isEqualTo(RouteChoice.WAIT);
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 3_500).id()).isEqualTo("e1");
        router.usedBy("other", Map.of("e1", new EndpointUse(1, 0, 0, true)), true);
        assertThat(router.choose(query(MODEL, PromptShape.NONE), 3_500)).isEqualTo(RouteChoice.WAIT);
    }

    /** Guards against plain requests that queue at one endpoint while others have room. */
    @Test
    void spreadsPlainRequestsByTheShareOfSlotsTaken() {
        router.registered(service("s1"), 0);
        router.registered(service("s2"), 0);
        router.usedBy("other", Map.of("s1", new EndpointUse(4, 0, 0)), true);
        assertThat(router.choose(query(PLAIN, PromptShape.NONE), 0).id()).isEqualTo("s2");
        router.usedBy("other", Map.of("s1", new EndpointUse(6, 0, 0), "s2", new EndpointUse(6, 0, 0)), true);
        assertThat(router.choose(query(PLAIN, PromptShape.NONE), 0)).isEqualTo(RouteChoice.WAIT);
        router.unusedBy("other");
        assertThat(router.choose(query(PLAIN, PromptShape.NONE), 0).kind()).isEqualTo(RouteChoice.Kind.ENDPOINT);
    }

    /** Guards against requests to an endpoint that wants none of this host, and against callers that wait for it in vain. */
    @Test
    void leavesAnEndpointAloneForAsLongAsItAsks() {
        router.backOff(new EndpointProcess("e1", 1), 2_000);
        for (int i = 0; i < 20; i++) {
            RouteQuery each = query(MODEL, PROMPT);
            assertThat(router.choose(each, 100 + i).id()).isEqualTo("e2");
            router.started("e2", each, 100 + i);
        }
        router.backOff(new EndpointProcess("e2", 1), 90_000);
        RouteQuery patient = new RouteQuery(MODEL, 0, false, false, PROMPT, 5_000, 10_000, Set.of());
        assertThat(router.choose(patient, 500)).isEqualTo(RouteChoice.WAIT);
        router.backOff(new EndpointProcess("e1", 1), 91_000);
        RouteChoice refused = router.choose(patient, 500);
        assertThat(refused.cause()).isEqualTo(RouteChoice.Cause.BACK_OFF);
        assertThat(refused.availableMillis()).isEqualTo(89_500);
    }

    /** Guards against the wish or the failures of an earlier process that count against the next one. */
    @Test
    void forgetsWhatAnEarlierProcessHasDone() {
        router.unregistered("e2");
        router.backOff(new EndpointProcess("e1", 1), 90_000);
        router.lost("e1", router.lossEpoch("e1"), 100);
        assertThat(router.choose(query(MODEL, PROMPT), 200).kind()).isNotEqualTo(RouteChoice.Kind.ENDPOINT);
        router.registered(engine("e1", "a", 0, 2), 200);
        assertThat(router.choose(query(MODEL, PROMPT), 200).id()).isEqualTo("e1");
        router.backOff(new EndpointProcess("e1", 1), 90_000);
        assertThat(router.choose(query(MODEL, PROMPT), 200).id()).isEqualTo("e1");
    }

    /** Guards against an endpoint that is charged as failing for requests that it refused because it wanted none. */
    @Test
    void countsNoFailureWhileTheEndpointBacksOff() {
        router.backOff(new EndpointProcess("e1", 1), 2_000);
        for (int i = 0; i < 10; i++) {
            router.failed("e1", 1_000);
        }
        router.unregistered("e2");
        router.registered(engine("e3", "b", 0), 3_000);
        assertThat(router.choose(query(MODEL, PROMPT), 3_000).id()).isEqualTo("e1");
    }

    private static RouteQuery query(RequestTarget.RoutedTarget target, PromptShape prompt) {
        return new RouteQuery(target, 0, false, false, prompt, Long.MAX_VALUE, Long.MAX_VALUE, Set.of());
    }

    private static EndpointRegistration engine(String id, String domain, long coldMillis) {
        return engine(id, domain, coldMillis, 1);
    }

    private static EndpointRegistration engine(String id, String domain, long coldMillis, long bornMillis) {
        List<ResidentModel> models = List.of(new ResidentModel("m", Set.of()));
        return new EndpointRegistration(id, "llm", "10.0.0.1:80", domain, 64, false, coldMillis, bornMillis, models);
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
