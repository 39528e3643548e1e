package org.gooseberryring.coordination.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures a routing decision at the target size of a failure domain: 1,430 endpoints and 1,900 models. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RouterBenchmark {
    private static final int ENDPOINTS = 1_430;
    private static final int MODELS = 1_900;
    private static final int MODELS_PER_ENDPOINT = 8;
    private static final int CONCURRENCY = 128;
    private static final int QUERIES = 4_096;

    /** Requests of this host in flight in steady state, spread over the endpoints. */
    private static final int IN_FLIGHT = 700;

    @Param({"SPREAD", "ONE_MODEL_EVERYWHERE", "ALL_FULL"})
    private String load;

    private final RouteQuery[] queries = new RouteQuery[QUERIES];
    private final String[] inFlightEndpoints = new String[IN_FLIGHT];
    private final RouteQuery[] inFlightQueries = new RouteQuery[IN_FLIGHT];
    private Router router;
    private int next;

    /** Builds a router that knows all endpoints and has the requests of a busy host in flight. */
    @Setup(Level.Trial)
    public void setUp() {
        Random random = new Random(7);
        router = new Router("d", random, new UnsharedCredits());
        TreeMap<String, Endpoint> endpoints = new TreeMap<>();
        TreeMap<String, List<Artifact>> placements = new TreeMap<>();
        TreeMap<String, FailureDomain> domains = new TreeMap<>();
        domains.put("d", new FailureDomain("d", "r", true));
        for (int i = 0; i < ENDPOINTS; i++) {
            String id = "endpoint-" + i;
            endpoints.put(id, new Endpoint(id, EndpointKind.MODEL, "d", "10.0.0.1:1", 0, CONCURRENCY, true, false));
            Set<Artifact> held = new HashSet<>();
            held.add(artifact(0));
            for (int j = 1; j < MODELS_PER_ENDPOINT; j++) {
                held.add(artifact((i * (MODELS_PER_ENDPOINT - 1) + j) % MODELS));
            }
            placements.put(id, new ArrayList<>(held));
        }
        router.configured(new FleetConfiguration(1, null, null, null, null, domains, endpoints, null, placements), 0);
        boolean full = load.equals("ALL_FULL");
        placements.forEach((id, held) -> router.onLoadReport(
                id, 1, full ? CONCURRENCY : random.nextInt(100), 0, CONCURRENCY, new HashSet<>(held), 0, 0));
        placements.keySet().forEach(id -> warm(id));
        for (int i = 0; i < QUERIES; i++) {
            int model = load.equals("SPREAD") ? 1 + random.nextInt(MODELS - 1) : 0;
            long prefix = random.nextInt(4) == 0 ? 0 : random.nextInt(1_000_000) * 31L + 1;
            queries[i] = new RouteQuery(new RequestTarget.ModelTarget(artifact(model)), prefix, false, false);
        }
    }

    private void warm(String endpoint) {
        for (int i = 0; i < 2 * CONCURRENCY; i++) {
            router.onAttemptSucceeded(endpoint, 100, 0);
        }
    }

    /** Chooses an endpoint, and counts the start of the request and the end of an older one. */
    @Benchmark
    public RouteChoice decide() {
        int i = next++;
        long now = i >> 6;
        RouteQuery query = queries[i & QUERIES - 1];
        RouteChoice choice = router.choose(query, now);
        int slot = Math.floorMod(i, IN_FLIGHT);
        if (inFlightEndpoints[slot] != null) {
            router.onAttemptEnded(inFlightEndpoints[slot], inFlightQueries[slot], now);
            inFlightEndpoints[slot] = null;
        }
        if (choice.kind() == RouteChoice.Kind.ENDPOINT) {
            router.onAttemptStarted(choice.id(), query, now);
            inFlightEndpoints[slot] = choice.id();
            inFlightQueries[slot] = query;
        }
        return choice;
    }

    private static Artifact artifact(int i) {
        return new Artifact("model-" + i, null, "1");
    }
}
