package org.gooseberryring.coordination.direct;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.path.EndpointPaths;
import org.gooseberryring.coordination.ratelimit.PermitGrant;
import org.gooseberryring.coordination.ratelimit.PermitPurpose;
import org.gooseberryring.coordination.ratelimit.PermitRequest;
import org.gooseberryring.coordination.ratelimit.RateLimit;
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

class PermittedChoiceTest {
    private static final RequestTarget.RoutedTarget MODEL = new RequestTarget.RoutedTarget("llm", "m", null);
    private static final PromptShape PROMPT = new PromptShape(List.of(new PromptShape.Part(1, 400)), 400, 100);
    private static final EndpointProcess LIMITED = new EndpointProcess("e1", 1);
    private static final RateLimit LIMIT = new RateLimit(1, 1);

    private final PermittedChoice permitted = new PermittedChoice(new Random(5));
    private final DirectRouter router = new DirectRouter("a", permitted, new EndpointPaths("a", new Random(1)));

    PermittedChoiceTest() {
        router.configured(configuration());
        router.onEndpointRegistered(engine("e1", "a", 1), 0);
        permitted.setLimit(LIMITED, LIMIT);
    }

    /** Guards against a request that waits, or is rejected, although an endpoint without a limit is free. */
    @Test
    void requestWithoutAPermitGoesToAnotherEndpoint() {
        router.onEndpointRegistered(engine("e2", "b", 1), 0);
        RouteQuery query = query("r1", 60_000);
        // The endpoint in the own failure domain costs less, so its permit is awaited until it is known to come later.
        assertThat(router.choose(query, 100)).isEqualTo(RouteChoice.WAIT);
        PermitRequest request = takeRequest(100);
        permitted.onGrant(grant(request, 0, 700), 110);
        assertThat(router.choose(query, 110).id()).isEqualTo("e2");
        router.onAttemptStarted("e2", query, 110);
        assertThat(permitted.takeLimitedRequests())
                .contains(new LimitedRequest("r1", "e1", LimitedRequest.Action.SENT_ELSEWHERE, 0));
        assertThat(takeRequest(110).wanted()).isEqualTo(0);
    }

    /** Guards against a request that waits for the answer of an issuer that is gone. */
    @Test
    void requestGoesToAnotherEndpointIfTheIssuerIsSilent() {
        router.onEndpointRegistered(engine("e2", "b", 1), 0);
        RouteQuery query = query("r1", 60_000);
        assertThat(router.choose(query, 100)).isEqualTo(RouteChoice.WAIT);
        takeRequest(100);
        assertThat(router.choose(query, 160).id()).isEqualTo("e2");
    }

    /** Guards against a permit that is used for more than one request, or after its time. */
    @Test
    void permitIsUsedOnceAndInTime() {
        RouteQuery query = query("r1", 60_000);
        router.choose(query, 100);
        permitted.onGrant(grant(takeRequest(100), 1, 900), 110);
        assertThat(router.choose(query, 110).id()).isEqualTo("e1");
        router.onAttemptStarted("e1", query, 110);
        assertThat(router.choose(query("r2", 60_000), 120)).isEqualTo(RouteChoice.WAIT);
        permitted.onGrant(grant(takeRequest(120), 1, 900), 130);
        assertThat(router.choose(query("r2", 60_000), 500)).isEqualTo(RouteChoice.WAIT);
    }

    /** Guards against callers that wait for a permit that comes too late, also behind others that wait already. */
    @Test
    void rejectsAtOnceWhatCannotStartInTimeAndAsksForAReplica() {
        router.choose(query("r1", 1_500), 100);
        permitted.onGrant(grant(takeRequest(100), 0, 1_000), 110);
        assertThat(router.choose(query("r1", 1_500), 110)).isEqualTo(RouteChoice.WAIT);
        RouteChoice second = router.choose(query("r2", 1_500), 110);
        assertThat(second.cause()).isEqualTo(RouteChoice.Cause.RATE_LIMITED);
        assertThat(second.availableMillis()).isEqualTo(2_000);
        assertThat(permitted.takeLimitedRequests())
                .contains(new LimitedRequest("r2", "e1", LimitedRequest.Action.REJECTED, 2_000));
        assertThat(router.takeRequestedArtifacts()).containsExactly(RequestedArtifact.ofAnyVersion(MODEL));
    }

    /** Guards against requests that are rejected although another endpoint loads their model before their deadline. */
    @Test
    void requestWaitsForAReplicaThatComesBeforeItsDeadline() {
        router.choose(urgent("r1", 9_000), 100);
        permitted.onGrant(grant(takeRequest(100), 0, 60_000), 110);
        assertThat(router.choose(urgent("r1", 9_000), 110)).isEqualTo(RouteChoice.WAIT);
        assertThat(router.choose(urgent("r2", 4_000), 110).cause()).isEqualTo(RouteChoice.Cause.RATE_LIMITED);
        assertThat(router.takeRequestedArtifacts()).containsExactly(RequestedArtifact.ofAnyVersion(MODEL));
        assertThat(permitted.takeLimitedRequests().stream().map(LimitedRequest::action))
                .containsExactly(LimitedRequest.Action.HELD, LimitedRequest.Action.REJECTED)
                .inOrder();
        router.onEndpointRegistered(engine("e2", "b", 1), 4_200);
        assertThat(router.choose(urgent("r1", 9_000), 4_200).id()).isEqualTo("e2");
    }

    /** Guards against requests that wait for a replica for which no endpoint has memory. */
    @Test
    void rejectsAtOnceIfTheReplicaDoesNotCome() {
        router.choose(urgent("r1", 60_000), 100);
        permitted.onGrant(grant(takeRequest(100), 0, 60_000), 110);
        assertThat(router.choose(urgent("r1", 60_000), 110)).isEqualTo(RouteChoice.WAIT);
        assertThat(router.choose(urgent("r1", 60_000), 8_200).cause()).isEqualTo(RouteChoice.Cause.RATE_LIMITED);
        assertThat(router.choose(urgent("r2", 60_000), 9_000).cause()).isEqualTo(RouteChoice.Cause.RATE_LIMITED);
    }

    /** Guards against requests for an adapter that are rejected although its model has a replica that is free. */
    @Test
    void requestForAnAdapterWaitsUntilAFreeReplicaHasLoadedIt() {
        RequestTarget.RoutedTarget adapter = new RequestTarget.RoutedTarget("llm", "m", "a1");
        router.onResidentModelsReported("e1", List.of(new ResidentModel("m", Set.of("a1"))), 0);
        router.onEndpointRegistered(engine("e2", "b", 1), 0);
        RouteQuery query = new RouteQuery("r1", adapter, 0, false, false, PROMPT, 1_500, 1_500, Set.of());
        router.choose(query, 100);
        permitted.onGrant(grant(takeRequest(100), 0, 5_000), 110);
        assertThat(router.choose(query, 110)).isEqualTo(RouteChoice.WAIT);
        assertThat(router.takeRequestedArtifacts()).containsExactly(RequestedArtifact.ofAnyVersion(adapter));
        assertThat(permitted.takeLimitedRequests().stream().map(LimitedRequest::action))
                .doesNotContain(LimitedRequest.Action.REJECTED);
        router.onResidentModelsReported("e2", List.of(new ResidentModel("m", Set.of("a1"))), 200);
        assertThat(router.choose(query, 200).id()).isEqualTo("e2");
    }

    /** Guards against permits that are given to requests whose callers have left. */
    @Test
    void endedRequestWaitsForNoPermit() {
        router.choose(query("r1", 9_000), 100);
        router.choose(query("r2", 9_000), 100);
        permitted.onGrant(grant(takeRequest(100), 0, 1_000), 110);
        router.choose(query("r1", 9_000), 110);
        router.choose(query("r2", 9_000), 110);
        router.onRequestEnded("r1");
        assertThat(takeRequest(400).wanted()).isEqualTo(1);
        router.onRequestEnded("r2");
        assertThat(takeRequest(700).wanted()).isEqualTo(0);
    }

    /** Guards against the limit of an earlier process that holds back requests for the next one. */
    @Test
    void limitDoesNotBindAnotherProcess() {
        router.onEndpointRegistered(engine("e1", "a", 2), 200);
        assertThat(router.choose(query("r1", 1_500), 210).id()).isEqualTo("e1");
    }

    private PermitRequest takeRequest(long now) {
        List<PermitRequest> requests = permitted.takePermitRequests(now);
        assertThat(requests).hasSize(1);
        return requests.get(0);
    }

    private static PermitGrant grant(PermitRequest request, int permits, long waitMillis) {
        return new PermitGrant(LIMITED, PermitPurpose.REQUEST, request.number(), permits, waitMillis, 1_000, LIMIT);
    }

    private static RouteQuery query(String id, long startBy) {
        return new RouteQuery(id, MODEL, 0, false, false, PROMPT, startBy, startBy, Set.of());
    }

    /** Returns a query for a request that misses its objective long before its deadline. */
    private static RouteQuery urgent(String id, long startBy) {
        return new RouteQuery(id, MODEL, 0, false, false, PROMPT, 500, startBy, Set.of());
    }

    private static EndpointRegistration engine(String id, String domain, long bornMillis) {
        List<ResidentModel> models = List.of(new ResidentModel("m", Set.of()));
        return new EndpointRegistration(id, "llm", "10.0.0.1:80", domain, 64, false, 0, bornMillis, models);
    }

    private static ServingConfiguration configuration() {
        TreeMap<String, ModelProfile> models = new TreeMap<>();
        models.put("m", new ModelProfile("m", 65_000, 4_000, 400, 800, 4, 10));
        TreeMap<String, ServiceProfile> services = new TreeMap<>();
        EngineProfile engine = new EngineProfile(64, 240_000, 220_000, 8, 1.4, models);
        services.put("llm", new ServiceProfile("llm", "/h", 360, 0, 0, engine));
        return new ServingConfiguration(
                1,
                new RouteTable(List.of()),
                services,
                new TreeMap<>(),
                Map.of(),
                new RequestLimits(16_384, 4_000_000, 3_000, 15_000));
    }
}
