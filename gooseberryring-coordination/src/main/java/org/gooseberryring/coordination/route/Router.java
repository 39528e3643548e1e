package org.gooseberryring.coordination.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.FailureDomain;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.ServiceRoute;

/**
 * Chooses the endpoint that a request is sent to.
 *
 * <p>It tracks every endpoint of its own failure domain and a summary of the other domains. All methods are called from
 * one thread.
 */
public final class Router implements EndpointRouter {
    /** About 800 KB of memory; at 50 requests/s a host receives a prefix again within minutes or not at all. */
    private static final int AFFINITY_ENTRIES = 1 << 16;

    private final String failureDomain;
    private final Random random;
    private final CreditSource creditSource;
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final Map<Artifact, Replicas> byArtifact = new HashMap<>();
    private final Map<String, Replicas> byService = new HashMap<>();
    private final Map<String, List<ReplicaSet>> serviceSetsOf = new HashMap<>();
    private final RemoteDomains remote = new RemoteDomains();
    private final RemoteServices remoteServices = new RemoteServices();
    private final PrefixAffinity affinity = new PrefixAffinity(AFFINITY_ENTRIES);
    private boolean domainIn;

    /**
     * Creates a router without any endpoint.
     *
     * @param failureDomain failure domain of this host
     * @param random source of random choices, seeded by the caller
     * @param creditSource concurrency credits of endpoints
     */
    public Router(String failureDomain, Random random, CreditSource creditSource) {
        this.failureDomain = failureDomain;
        this.random = random;
        this.creditSource = creditSource;
    }

    /** Applies a configuration. */
    public void configured(FleetConfiguration configuration, long now) {
        Set<String> domainsIn = new HashSet<>();
        for (FailureDomain domain : configuration.failureDomains().values()) {
            if (domain.in()) {
                domainsIn.add(domain.id());
            }
        }
        domainIn = domainsIn.contains(failureDomain);
        configureEndpoints(configuration);
        configureServices(configuration);
        rebuildAll();
        domainsIn.remove(failureDomain);
        remote.configured(domainsIn);
        remoteServices.configured(configuration, domainsIn);
    }

    /**
     * Applies a load report.
     *
     * @param endpoint endpoint of the report; reports of unknown endpoints are ignored
     * @param incarnation number that differs after each restart
     * @param running requests that run
     * @param waiting requests queued in the endpoint
     * @param capacity requests that it can run at once now, 0 if unknown
     * @param loaded artifacts that are loaded
     * @param ageMillis age of the figures
     * @param now monotonic time in milliseconds
     */
    public void onLoadReport(
            String endpoint,
            long incarnation,
            int running,
            int waiting,
            int capacity,
            Set<Artifact> loaded,
            long ageMillis,
            long now) {
        EndpointState state = endpoints.get(endpoint);
        if (state == null) {
            return;
        }
        boolean hadFreeCapacity = state.hasFreeCapacity(false, now);
        Set<Artifact> before = state.loaded();
        if (state.onLoadReport(incarnation, running + waiting, capacity, loaded, now - ageMillis)) {
            before.stream().filter(artifact -> !loaded.contains(artifact)).forEach(this::rebuild);
            loaded.stream().filter(artifact -> !before.contains(artifact)).forEach(this::rebuild);
        }
        if (!hadFreeCapacity) {
            onCapacityFreed(state, now);
        }
    }

    /** Applies the summary of another failure domain; a summary with an older sequence number is ignored. */
    public void domainSummary(String domain, long sequence, List<ArtifactLoad> loads, long now) {
        if (!domain.equals(failureDomain)) {
            remote.summary(domain, sequence, loads, now);
        }
    }

    /** Removes the affinity entries of an endpoint whose cache events have a gap. */
    public void cacheEventsLost(String endpoint) {
        affinity.removeEndpoint(endpoint);
    }

    /** Records that an endpoint has a prompt prefix cached, as its cache events report. */
    public void prefixCached(long prefixHash, String endpoint) {
        affinity.put(prefixHash, endpoint);
    }

    /** Handles the arrival of credits of an endpoint. */
    public void creditsArrived(String endpoint, long now) {
        EndpointState state = endpoints.get(endpoint);
        if (state != null) {
            onCapacityFreed(state, now);
        }
    }

    /** Chooses where to send a request; the only side effect is a request for credits. */
    @Override
    public RouteChoice choose(RouteQuery query, long now) {
        Replicas replicas = domainIn ? replicasOf(query.target()) : null;
        ReplicaSet set = replicas == null ? null : replicas.inService();
        if (set != null) {
            EndpointState chosen = set.choose(hint(query), query.prefixHash(), query.alone(), random, now);
            if (chosen != null) {
                return chosen.choice();
            }
            set.requestCredit(query.alone(), random, now);
            return RouteChoice.WAIT;
        }
        RouteChoice relay = query.relayed() ? null : relay(query.target(), now);
        return relay == null ? RouteChoice.UNREACHABLE : relay;
    }

    @Override
    public RouteForecast onAttemptStarted(String endpoint, RouteQuery query, long now) {
        EndpointState state = endpoints.get(endpoint);
        if (state != null) {
            state.onAttemptStarted(query.alone(), now);
            affinity.put(query.prefixHash(), endpoint);
        }
        return RouteForecast.NONE;
    }

    @Override
    public void onAttemptEnded(String endpoint, RouteQuery query, long now) {
        EndpointState state = endpoints.get(endpoint);
        if (state != null) {
            boolean hadFreeCapacity = state.hasFreeCapacity(false, now);
            state.onAttemptEnded(query.alone(), now);
            if (state.isRemoved() && state.ownInFlight() == 0) {
                endpoints.remove(endpoint);
            }
            if (!hadFreeCapacity) {
                onCapacityFreed(state, now);
            }
        }
    }

    /** Counts a complete response towards the slow start of an endpoint. */
    @Override
    public void onAttemptSucceeded(String endpoint, long firstTokenMillis, long now) {
        EndpointState state = endpoints.get(endpoint);
        if (state != null) {
            boolean hadFreeCapacity = state.hasFreeCapacity(false, now);
            state.onAttemptSucceeded(firstTokenMillis);
            if (!hadFreeCapacity) {
                onCapacityFreed(state, now);
            }
        }
    }

    @Override
    public void onAttemptFailed(String endpoint, long now) {
        EndpointState state = endpoints.get(endpoint);
        if (state != null) {
            state.onAttemptFailed();
        }
    }

    @Override
    public long lossEpoch(String endpoint) {
        EndpointState state = endpoints.get(endpoint);
        return state == null ? 0 : state.lossEpoch();
    }

    /** Excludes an endpoint whose connection broke until it reports again. */
    @Override
    public void onEndpointLost(String endpoint, long epochAtDispatch, long now) {
        EndpointState state = endpoints.get(endpoint);
        if (state != null) {
            state.onEndpointLost(epochAtDispatch, now);
            affinity.removeEndpoint(endpoint);
        }
    }

    /** Makes lost plain services available for a retry when it is due; returns whether there is one. */
    @Override
    public boolean tick(long now) {
        boolean any = false;
        for (EndpointState state : endpoints.values()) {
            if (state.resetLossIfRetryDue(now)) {
                onCapacityFreed(state, now);
                any = true;
            }
        }
        return any;
    }

    /** Returns the requests of this host in flight at an endpoint. */
    public int inFlight(String endpoint) {
        EndpointState state = endpoints.get(endpoint);
        return state == null ? 0 : state.ownInFlight();
    }

    /** Returns the concurrent requests that slow start allows at an endpoint, 0 if it is unknown. */
    public int slowStartLimit(String endpoint) {
        EndpointState state = endpoints.get(endpoint);
        return state == null ? 0 : state.slowStartLimit();
    }

    private void configureEndpoints(FleetConfiguration configuration) {
        Set<String> gone = new HashSet<>(endpoints.keySet());
        for (Endpoint endpoint : configuration.endpoints().values()) {
            if (!endpoint.failureDomain().equals(failureDomain)) {
                continue;
            }
            gone.remove(endpoint.id());
            EndpointCredits credits = creditSource.of(endpoint);
            EndpointState state = endpoints.computeIfAbsent(endpoint.id(), id -> new EndpointState(endpoint, credits));
            List<Artifact> placed = configuration.placements().getOrDefault(endpoint.id(), List.of());
            state.configure(endpoint, credits, new HashSet<>(placed), domainIn);
        }
        for (String id : gone) {
            affinity.removeEndpoint(id);
            EndpointState state = endpoints.get(id);
            state.onRemoved();
            if (state.ownInFlight() == 0) {
                endpoints.remove(id);
            }
        }
    }

    private void configureServices(FleetConfiguration configuration) {
        byService.clear();
        serviceSetsOf.clear();
        for (ServiceRoute service : configuration.services().values()) {
            ReplicaSet set = new ReplicaSet();
            List<EndpointState> states = new ArrayList<>();
            for (String id : service.endpoints()) {
                EndpointState state = endpoints.get(id);
                if (state != null) {
                    states.add(state);
                    serviceSetsOf.computeIfAbsent(id, key -> new ArrayList<>()).add(set);
                }
            }
            set.replace(states);
            byService.put(service.id(), new Replicas(set, new ReplicaSet()));
        }
    }

    private void rebuildAll() {
        Map<Artifact, List<EndpointState>> holders = new HashMap<>();
        for (EndpointState state : endpoints.values()) {
            for (Artifact artifact : state.loaded()) {
                holders.computeIfAbsent(artifact, key -> new ArrayList<>()).add(state);
            }
        }
        byArtifact.clear();
        holders.forEach((artifact, states) -> byArtifact.put(artifact, Replicas.of(artifact, states)));
    }

    private void rebuild(Artifact artifact) {
        List<EndpointState> states = new ArrayList<>();
        for (EndpointState state : endpoints.values()) {
            if (state.hasLoaded(artifact)) {
                states.add(state);
            }
        }
        if (states.isEmpty()) {
            byArtifact.remove(artifact);
        } else {
            byArtifact.put(artifact, Replicas.of(artifact, states));
        }
    }

    private RouteChoice relay(RequestTarget target, long now) {
        if (target instanceof RequestTarget.ModelTarget model) {
            return remote.choose(model.artifact(), random, now);
        }
        return remoteServices.choose(((RequestTarget.ServiceTarget) target).service(), random);
    }

    private Replicas replicasOf(RequestTarget target) {
        if (target instanceof RequestTarget.ModelTarget model) {
            return byArtifact.get(model.artifact());
        }
        return byService.get(((RequestTarget.ServiceTarget) target).service());
    }

    private EndpointState hint(RouteQuery query) {
        if (query.prefixHash() == 0 || !(query.target() instanceof RequestTarget.ModelTarget model)) {
            return null;
        }
        String id = affinity.find(query.prefixHash());
        EndpointState state = id == null ? null : endpoints.get(id);
        return state != null && state.hasLoaded(model.artifact()) ? state : null;
    }

    /** Notifies the replica sets of an endpoint that it has free capacity again. */
    private void onCapacityFreed(EndpointState state, long now) {
        if (!state.hasFreeCapacity(false, now)) {
            return;
        }
        for (Artifact artifact : state.loaded()) {
            Replicas replicas = byArtifact.get(artifact);
            if (replicas != null) {
                replicas.onCapacityFreed(state, state.isPlaced(artifact));
            }
        }
        for (ReplicaSet set : serviceSetsOf.getOrDefault(state.id(), List.of())) {
            set.onCapacityFreed(state);
        }
    }
}
