package org.gooseberryring.coordination.route;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.ServiceRoute;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class RouterTest {
    private static final Artifact ARTIFACT = new Artifact("m", null, "1");
    private static final RouteQuery QUERY = query(0);
    private static final long START = 10_000;

    private final Router router = new Router("d0", new Random(5), new UnsharedCredits());

    /**
     * Guards against a model that is unreachable while it moves, and against new requests to the replica being removed.
     */
    @Test
    void unplacedReplicaServesOnlyUntilPlacedOneIsConfirmed() {
        configure(true, "e0");
        report("e1", 1, 0, 0, START);
        assertThat(router.choose(QUERY, START).id()).isEqualTo("e1");

        report("e0", 1, 0, 0, START);

        for (int i = 0; i < 50; i++) {
            assertThat(router.choose(QUERY, START).id()).isEqualTo("e0");
        }
        router.onEndpointLost("e0", router.lossEpoch("e0"), START);
        assertThat(router.choose(QUERY, START).id()).isEqualTo("e1");
    }

    /** Guards against relay loops, relays to a failure domain out of service, and relays despite a local replica. */
    @ParameterizedTest
    @CsvSource({
        "true, true, false, RELAY",
        "true, true, true, UNREACHABLE",
        "true, false, false, UNREACHABLE",
        "false, true, false, RELAY"
    })
    void relaysOnlyWhereTheArtifactIsResident(
            boolean localIn, boolean remoteIn, boolean relayed, RouteChoice.Kind expected) {
        configure(localIn, remoteIn, "e0");
        router.domainSummary("d1", 1, List.of(new ArtifactLoad(ARTIFACT, 1, 4)), START);
        if (!localIn) {
            report("e0", 1, 0, 0, START);
        }
        RouteQuery query = new RouteQuery(QUERY.target(), 0, false, relayed);

        assertThat(router.choose(query, START).kind()).isEqualTo(expected);
        assertThat(router.choose(query, START + 60_000).kind()).isEqualTo(RouteChoice.Kind.UNREACHABLE);
    }

    /** Guards against a plain service that cannot be reached through hosts of other failure domains. */
    @ParameterizedTest
    @CsvSource({"true, false, RELAY", "true, true, UNREACHABLE", "false, false, UNREACHABLE"})
    void serviceOfAnotherFailureDomainIsRelayed(boolean remoteIn, boolean relayed, RouteChoice.Kind expected) {
        configure(true, remoteIn);
        RouteQuery query = new RouteQuery(new RequestTarget.ServiceTarget("far"), 0, false, relayed);

        assertThat(router.choose(query, START).kind()).isEqualTo(expected);
    }

    /** Guards against a lagging load report that counts requests twice or counts requests that have ended since. */
    @Test
    void reportIsCorrectedByOwnRequestsSinceIt() {
        configure(true, "e0", "e1");
        report("e0", 1, 0, 0, START);
        report("e1", 1, 0, 0, START);
        warm("e0", "e1");
        start("e0", 6, START + 100);
        for (int i = 0; i < 6; i++) {
            router.onAttemptEnded("e0", QUERY, START + 900);
        }
        start("e1", 2, START + 950);

        report("e0", 1, 6, 500, START + 1_000);
        report("e1", 1, 0, 500, START + 1_000);

        for (int i = 0; i < 20; i++) {
            assertThat(router.choose(QUERY, START + 1_000).id()).isEqualTo("e0");
        }
    }

    /** Guards against full load on an endpoint that restarted, was lost, or came back with its failure domain. */
    @ParameterizedTest
    @CsvSource({"INCARNATION", "LOSS", "DOMAIN"})
    void coldEndpointStartsWithOneRequest(String cause) {
        configure(true, "e0");
        report("e0", 1, 0, 0, START);
        warm("e0");
        assertThat(router.slowStartLimit("e0")).isEqualTo(8);

        long incarnation = cause.equals("INCARNATION") ? 2 : 1;
        if (cause.equals("LOSS")) {
            router.onEndpointLost("e0", router.lossEpoch("e0"), START);
            assertThat(router.choose(QUERY, START).kind()).isEqualTo(RouteChoice.Kind.UNREACHABLE);
        } else if (cause.equals("DOMAIN")) {
            configure(false, "e0");
            configure(true, "e0");
        }
        report("e0", incarnation, 0, 0, START + 1);

        start("e0", 1, START + 1);
        assertThat(router.choose(QUERY, START + 1).kind()).isEqualTo(RouteChoice.Kind.WAIT);
    }

    /**
     * Guards against requests that keep waiting after slow start, the end of a request or a report has freed capacity.
     */
    @ParameterizedTest
    @CsvSource({"SUCCESS", "END", "REPORT"})
    void freedCapacityIsUsedAfterAllWereFull(String cause) {
        configure(true, "e0");
        report("e0", 1, 0, 0, START);
        if (cause.equals("REPORT")) {
            report("e0", 1, 8, 0, START);
        } else {
            start("e0", 1, START);
        }
        assertThat(router.choose(QUERY, START).kind()).isEqualTo(RouteChoice.Kind.WAIT);

        switch (cause) {
            case "SUCCESS" -> router.onAttemptSucceeded("e0", 100, START);
            case "END" -> router.onAttemptEnded("e0", QUERY, START);
            default -> report("e0", 1, 0, 0, START);
        }

        assertThat(router.choose(QUERY, START).kind()).isEqualTo(RouteChoice.Kind.ENDPOINT);
    }

    /** Guards against a prefix that many callers share and that overloads the endpoint that caches it. */
    @Test
    void prefixAffinityIsLimitedByLoad() {
        configure(true, "e0", "e1");
        report("e0", 1, 0, 0, START);
        report("e1", 1, 0, 0, START);
        warm("e0", "e1");
        router.prefixCached(77, "e0");
        int[] started = new int[2];
        for (int i = 0; i < 10; i++) {
            String chosen = router.choose(query(77), START).id();
            started[chosen.equals("e0") ? 0 : 1]++;
            router.onAttemptStarted(chosen, query(78), START);
        }

        assertThat(started[0]).isGreaterThan(started[1]);
        assertThat(started[1]).isAtLeast(4);
    }

    /** Guards against a plain service that is never retried, since it sends no load reports. */
    @Test
    void lostServiceIsRetriedWithOneRequest() {
        configure(true, "e0");
        RouteQuery service = new RouteQuery(new RequestTarget.ServiceTarget("svc"), 0, false, false);
        warm("s0");
        router.onEndpointLost("s0", router.lossEpoch("s0"), START);
        assertThat(router.choose(service, START + 500).kind()).isEqualTo(RouteChoice.Kind.UNREACHABLE);

        router.tick(START + 1_000);

        assertThat(router.choose(service, START + 1_000).id()).isEqualTo("s0");
        router.onAttemptStarted("s0", service, START + 1_000);
        assertThat(router.choose(service, START + 1_000).kind()).isEqualTo(RouteChoice.Kind.WAIT);
    }

    /**
     * Guards against treating an endpoint as cold after one slow response, and against a cold one that stays at full
     * load.
     */
    @Test
    void suddenRiseOfFirstTokenTimeReturnsToSlowStart() {
        SlowStart slowStart = new SlowStart(64);
        for (int i = 0; i < 63; i++) {
            slowStart.onAttemptSucceeded(200);
        }
        assertThat(slowStart.limit()).isEqualTo(64);
        slowStart.onAttemptSucceeded(10_000);
        slowStart.onAttemptSucceeded(10_000);
        assertThat(slowStart.limit()).isEqualTo(64);
        slowStart.onAttemptSucceeded(10_000);
        assertThat(slowStart.limit()).isEqualTo(1);
    }

    /** Guards against hints that remain after a gap in the cache events. */
    @Test
    void prefixHintsOfAnEndpointAreRemovedTogether() {
        PrefixAffinity affinity = new PrefixAffinity(1 << 10);
        affinity.put(1, "e0");
        affinity.put(2, "e1");

        affinity.removeEndpoint("e0");

        assertThat(affinity.find(1)).isNull();
        assertThat(affinity.find(2)).isEqualTo("e1");
        affinity.put(1, "e0");
        assertThat(affinity.find(1)).isEqualTo("e0");
    }

    private void configure(boolean in, String... placed) {
        configure(in, true, placed);
    }

    private void configure(boolean localIn, boolean remoteIn, String... placed) {
        TreeMap<String, Endpoint> endpoints = new TreeMap<>();
        for (String id : List.of("e0", "e1", "s0")) {
            EndpointKind kind = id.startsWith("e") ? EndpointKind.MODEL : EndpointKind.SERVICE;
            endpoints.put(id, new Endpoint(id, kind, "d0", "127.0.0.1:1", 0, 8, true, false));
        }
        endpoints.put("s1", new Endpoint("s1", EndpointKind.SERVICE, "d1", "127.0.0.1:2", 0, 8, true, false));
        TreeMap<String, FailureDomain> domains = new TreeMap<>();
        domains.put("d0", new FailureDomain("d0", "r", localIn));
        domains.put("d1", new FailureDomain("d1", "r", remoteIn));
        TreeMap<String, ServiceRoute> services = new TreeMap<>();
        services.put("svc", new ServiceRoute("svc", List.of("s0"), null, null));
        services.put("far", new ServiceRoute("far", List.of("s1"), null, null));
        TreeMap<String, List<Artifact>> placements = new TreeMap<>();
        for (String id : placed) {
            placements.put(id, List.of(ARTIFACT));
        }
        router.configured(
                new FleetConfiguration(1, null, null, null, services, domains, endpoints, null, placements), START);
    }

    private void report(String endpoint, long incarnation, int running, long age, long now) {
        router.onLoadReport(endpoint, incarnation, running, 0, 8, Set.of(ARTIFACT), age, now);
    }

    private void start(String endpoint, int count, long now) {
        for (int i = 0; i < count; i++) {
            router.onAttemptStarted(endpoint, QUERY, now);
        }
    }

    private void warm(String... endpoints) {
        for (String endpoint : endpoints) {
            for (int i = 0; i < 16; i++) {
                router.onAttemptSucceeded(endpoint, 100, START);
            }
        }
    }

    private static RouteQuery query(long prefixHash) {
        return new RouteQuery(new RequestTarget.ModelTarget(ARTIFACT), prefixHash, false, false);
    }
}
