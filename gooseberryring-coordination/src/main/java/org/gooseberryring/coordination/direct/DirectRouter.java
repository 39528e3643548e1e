package org.gooseberryring.coordination.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.path.EndpointPaths;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.coordination.route.EndpointRouter;
import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteForecast;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.ModelProfile;
import org.gooseberryring.state.PromptShape;
import org.gooseberryring.state.ResidentModel;
import org.gooseberryring.state.ServingConfiguration;

/**
 * Chooses among all endpoints of a deployment. This host connects to each of them itself, or through another host while it
 * cannot.
 *
 * <p>A request goes to the endpoint that must process the fewest prompt tokens before the request starts. A plain
 * request goes to the endpoint of its service with the lowest slot utilisation. All methods are called from one thread.
 */
public final class DirectRouter implements EndpointRouter {
    /** Time that a controller takes to load an adapter on an endpoint that has loaded its model. */
    private static final long ADAPTER_MILLIS = 150;

    /** Time after which a path to an endpoint may be back, or a host that passes requests on may have been found. */
    private static final long PATH_RETRY_MILLIS = 500;

    private final EndpointCost cost;
    private final Map<String, DirectEndpoint> endpoints = new LinkedHashMap<>();
    private final EndpointIndex index = new EndpointIndex();
    private final Map<String, ReadRate> readRates = new HashMap<>();
    private final TargetDemand demand = new TargetDemand();
    private final UnregisteredEndpoints unregistered = new UnregisteredEndpoints();
    private final ArrivalEstimate arrivals = new ArrivalEstimate();
    private final PermittedChoice permitted;
    private final EndpointPaths paths;
    private final RequestedArtifacts requestedArtifacts = new RequestedArtifacts();
    private final AwaitedReplicas awaitedReplicas = new AwaitedReplicas();
    private ServingConfiguration configuration = ServingConfiguration.none();
    private Set<String> domainsOut = Set.of();
    private FleetShare share = FleetShare.ALONE;

    /**
     * Creates a router without any endpoint.
     *
     * @param failureDomain failure domain of this host
     * @param permitted chooses by cost, within the rate limits of endpoints
     * @param paths paths to the endpoints
     */
    public DirectRouter(String failureDomain, PermittedChoice permitted, EndpointPaths paths) {
        this.cost = new EndpointCost(failureDomain);
        this.permitted = permitted;
        this.paths = paths;
    }

    /** Returns the paths to the endpoints; {@link #onPathsChanged} must be called after a change. */
    public EndpointPaths paths() {
        return paths;
    }

    /** Applies changes of the paths to the endpoints. */
    public void onPathsChanged() {
        endpoints.forEach((id, endpoint) -> endpoint.setPathDown(paths.isDown(id)));
    }

    /** Applies a configuration. */
    public void configured(ServingConfiguration newConfiguration) {
        configuration = newConfiguration;
        endpoints.values().forEach(this::configure);
    }

    /** Adds or updates an endpoint from its registration. */
    public void onEndpointRegistered(EndpointRegistration registration, long now) {
        DirectEndpoint endpoint = endpoints.get(registration.id());
        if (endpoint == null) {
            ReadRate typicalRate = readRates.computeIfAbsent(registration.service(), service -> new ReadRate());
            endpoint = new DirectEndpoint(registration, typicalRate, now);
            endpoints.put(registration.id(), endpoint);
            paths.onEndpointAdded(registration.id(), now);
            configure(endpoint);
            unregistered.takeUses(registration.id()).forEach(endpoint::updateUse);
            List<ResidentModel> held = unregistered.takeModels(registration.id());
            if (held != null) {
                endpoint.onControllerReport(held, now);
            }
        } else {
            if (!endpoint.registration().process().equals(registration.process())) {
                paths.onEndpointAdded(registration.id(), now);
                endpoint.setPathDown(false);
            }
            endpoint.onRegistered(registration, now);
        }
        index.set(endpoints.values());
    }

    /** Removes an endpoint permanently; its state is kept until its last request has ended. */
    public void onEndpointRemoved(String endpoint) {
        DirectEndpoint known = endpoints.get(endpoint);
        paths.onEndpointRemoved(endpoint);
        if (known != null) {
            known.onRemoved();
            removeIfIdle(known);
            index.set(endpoints.values());
        }
    }

    /** Sets the failure domains that receive no new requests. */
    public void setDomainsOut(Set<String> domains) {
        domainsOut = Set.copyOf(domains);
    }

    /** Sets the rank of this host and the number of hosts. */
    public void setHostShare(FleetShare newShare) {
        share = newShare;
    }

    /**
     * Updates the use of endpoints by the requests of another host.
     *
     * @param uses uses that have changed; {@link EndpointUse#NONE} for an endpoint that no longer serves any of its
     *     requests
     * @param complete whether the host uses no other endpoints than those in {@code uses}
     */
    public void updateUse(String host, Map<String, EndpointUse> uses, boolean complete) {
        if (complete) {
            endpoints.values().stream()
                    .filter(endpoint ->
                            !uses.containsKey(endpoint.registration().id()))
                    .forEach(endpoint -> endpoint.updateUse(host, EndpointUse.NONE));
        }
        uses.forEach((id, use) -> {
            DirectEndpoint endpoint = endpoints.get(id);
            if (endpoint != null) {
                endpoint.updateUse(host, use);
            } else {
                unregistered.setUse(id, host, use);
            }
        });
    }

    /** Removes the uses by another host after the host was removed. */
    public void onHostRemoved(String host) {
        unregistered.removeHost(host);
        updateUse(host, Map.of(), true);
    }

    /** Returns the use by the requests of this host for each endpoint that serves any. */
    public Map<String, EndpointUse> uses(long now) {
        Map<String, EndpointUse> uses = new HashMap<>();
        endpoints.forEach((id, endpoint) -> {
            if (endpoint.own().inFlight() > 0) {
                uses.put(id, endpoint.own().stalled(endpoint.isStalled(paths, now)));
            }
        });
        return uses;
    }

    /** Returns the prompt parts that endpoints have processed for requests of this host since the last call. */
    public List<PromptPlacement> takePlacements() {
        List<PromptPlacement> placements = new ArrayList<>();
        endpoints.forEach((id, endpoint) -> endpoint.takeReadParts()
                .forEach((model, tokens) -> placements.add(new PromptPlacement(id, model, tokens))));
        return placements;
    }

    /** Records the prompt parts that endpoints have processed for requests of another host. */
    public void recordPlacements(List<PromptPlacement> placements) {
        for (PromptPlacement placement : placements) {
            DirectEndpoint endpoint = endpoints.get(placement.endpoint());
            if (endpoint != null) {
                endpoint.recordPlacement(placement);
            }
        }
    }

    /** Applies the loaded models of an endpoint that its controller reported. */
    public void onResidentModelsReported(String endpoint, List<ResidentModel> models, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.onControllerReport(models, now);
        } else {
            unregistered.setModels(endpoint, models);
        }
    }

    /** Records the failure domains whose controllers are alive, so that their last reports stay valid. */
    public void onControllersAlive(Collection<String> failureDomains, long now) {
        endpoints.values().stream()
                .filter(each -> failureDomains.contains(each.registration().failureDomain()))
                .forEach(each -> each.onControllerAlive(now));
    }

    /** Handles the statement of an endpoint that it does not have the model or adapter of a request loaded. */
    public void onArtifactMissing(String endpoint, RequestTarget target, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null && target instanceof RequestTarget.RoutedTarget routed && routed.model() != null) {
            known.onArtifactMissing(routed.model(), routed.adapter(), now);
        }
    }

    /**
     * Sets the time until which this host must send no request to a process of an endpoint; other processes are
     * unaffected.
     */
    public void backOff(EndpointProcess process, long until) {
        DirectEndpoint known = endpoints.get(process.endpoint());
        if (known != null && known.registration().process().equals(process)) {
            known.setBackOff(until);
        }
    }

    /** Sets whether a process of an endpoint fails when it must reject many requests. */
    public void setBrittle(EndpointProcess process, boolean brittle) {
        DirectEndpoint known = endpoints.get(process.endpoint());
        if (known != null && known.registration().process().equals(process)) {
            known.brittleLimit().setBrittle(brittle);
        }
    }

    /** Adds the work of a request that arrived to the demand, regardless of its outcome. */
    public void recordDemand(RequestTarget target, PromptShape prompt, long now) {
        if (target instanceof RequestTarget.RoutedTarget routed && routed.model() != null) {
            demand.record(routed, prompt, now);
        }
    }

    /**
     * Returns the demand of the callers of this host by target. Removes targets with little demand and no request in
     * flight.
     */
    public Map<RequestTarget.RoutedTarget, ArtifactUse> demands(long now) {
        Map<RequestTarget.RoutedTarget, Integer> inFlight = new HashMap<>();
        endpoints.values().forEach(endpoint -> endpoint.countInFlight(inFlight));
        return demand.uses(inFlight, now);
    }

    /** Returns and clears the artifacts that requests wait for and that no endpoint has loaded. */
    public List<RequestedArtifact> takeRequestedArtifacts() {
        return requestedArtifacts.take();
    }

    @Override
    public RouteChoice choose(RouteQuery query, long now) {
        if (!(query.target() instanceof RequestTarget.RoutedTarget target)) {
            return RouteChoice.UNREACHABLE;
        }
        List<DirectEndpoint> inService = inService(target.service());
        LoadedEndpoints loaded = LoadedEndpoints.of(inService, target, query.softwareVersion());
        if (loaded.lacksVersion()) {
            return RouteChoice.unreachable(RouteChoice.Cause.NO_VERSION, 0);
        }
        if (loaded.isOnlyInOtherVersions()) {
            return replicaOfVersion(query, target, now);
        }
        List<DirectEndpoint> holders = loaded.endpoints();
        if (holders.isEmpty()) {
            return missing(query, target, !inService.isEmpty(), now);
        }
        holders = usable(holders, now);
        if (holders.isEmpty()) {
            return RouteChoice.unreachable(RouteChoice.Cause.NO_PATH, PATH_RETRY_MILLIS);
        }
        List<PermittedChoice.Candidate> candidates = candidates(holders, query, now);
        RouteChoice choice = candidates.isEmpty()
                ? Backlog.waitOrReject(holders, query, now)
                : choose(candidates, holders, query, now);
        if (choice.cause() == RouteChoice.Cause.RATE_LIMITED) {
            return rateLimited(choice, query, target, now);
        }
        arrivals.onLoaded(new RequestedArtifact(target, query.softwareVersion()));
        if (!awaitedReplicas.isEmpty() && !holders.stream().allMatch(permitted::isLimited)) {
            awaitedReplicas.onLoaded(new RequestedArtifact(target.withoutAdapter(), query.softwareVersion()));
        }
        return choice;
    }

    @Override
    public String via(String endpoint, long now) {
        return paths.relay(endpoint, now);
    }

    @Override
    public RouteForecast onAttemptStarted(String endpoint, RouteQuery query, long now) {
        return onAttemptStarted(endpoint, null, query, now);
    }

    @Override
    public RouteForecast onAttemptStarted(String endpoint, String via, RouteQuery query, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known == null) {
            return RouteForecast.NONE;
        }
        if (via != null) {
            paths.onRelayStarted(via);
        }
        permitted.onAttemptStarted(known.registration().process(), query, now);
        return known.onAttemptStarted(via, query, share, now);
    }

    @Override
    public void onFirstByte(String endpoint, RouteQuery query, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.onFirstByte(query, now);
        }
    }

    @Override
    public void onAttemptEnded(String endpoint, RouteQuery query, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            String via = known.onAttemptEnded(query, now);
            if (via != null) {
                paths.onRelayEnded(via);
            }
            removeIfIdle(known);
        }
    }

    @Override
    public boolean isStalled(String endpoint, RouteQuery query, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        return known != null && known.isStalled(query, now);
    }

    @Override
    public void onAttemptSucceeded(String endpoint, long firstTokenMillis, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.health().onAttemptSucceeded();
        }
    }

    @Override
    public void onAttemptFailed(String endpoint, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        // A request rejected during back-off is no sign that the endpoint fails the requests that it accepts.
        if (known != null && known.backOffMillis(now) == 0) {
            known.health().onAttemptFailed();
            known.brittleLimit().onRejected(now);
        }
    }

    @Override
    public void onAttemptAbandoned(String endpoint, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.brittleLimit().onAbandoned(now);
        }
    }

    @Override
    public long lossEpoch(String endpoint) {
        DirectEndpoint known = endpoints.get(endpoint);
        return known == null ? 0 : known.health().lossEpoch();
    }

    @Override
    public String softwareVersion(String endpoint) {
        DirectEndpoint known = endpoints.get(endpoint);
        return known == null ? "" : known.registration().softwareVersion();
    }

    @Override
    public void onEndpointLost(String endpoint, long epochAtDispatch, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null && paths.isLost(endpoint, now)) {
            known.health().onEndpointLost(epochAtDispatch, now);
        }
    }

    @Override
    public void onRequestEnded(String requestId) {
        permitted.onRequestEnded(requestId);
    }

    @Override
    public boolean tick(long now) {
        return false;
    }

    /** Returns the endpoints that this host reaches, itself or through another one. */
    private List<DirectEndpoint> usable(List<DirectEndpoint> holders, long now) {
        if (!paths.isIsolated()) {
            return holders;
        }
        return holders.stream()
                .filter(endpoint -> paths.isUsable(endpoint.registration().id(), now))
                .toList();
    }

    private List<DirectEndpoint> inService(String service) {
        return index.inService(service, domainsOut);
    }

    /** Returns the endpoints with free capacity and their costs. */
    private List<PermittedChoice.Candidate> candidates(List<DirectEndpoint> holders, RouteQuery query, long now) {
        List<PermittedChoice.Candidate> candidates = new ArrayList<>();
        for (DirectEndpoint endpoint : holders) {
            if (endpoint.hasFreeCapacity(query, share, now)) {
                candidates.add(new PermittedChoice.Candidate(endpoint, cost.of(endpoint, query)));
            }
        }
        return candidates;
    }

    /** Chooses among the endpoints with free capacity, or waits for the others if rate limits rule these out. */
    private RouteChoice choose(
            List<PermittedChoice.Candidate> candidates, List<DirectEndpoint> holders, RouteQuery query, long now) {
        boolean hasOthers = candidates.size() < holders.size();
        RouteChoice choice =
                permitted.choose(candidates, query, query.latestStart(Backlog.MIN_WAIT_MILLIS), hasOthers, now);
        if (choice != null) {
            return choice;
        }
        List<DirectEndpoint> others = holders.stream()
                .filter(holder -> candidates.stream().noneMatch(candidate -> candidate.isFor(holder)))
                .toList();
        return Backlog.waitOrReject(others, query, now);
    }

    /**
     * Requests a replica of an artifact whose endpoints are too limited for the requests for it, and lets a request
     * wait for a replica that comes in time. An adapter is loaded in a moment where its model has another replica.
     */
    private RouteChoice rateLimited(RouteChoice choice, RouteQuery query, RequestTarget.RoutedTarget target, long now) {
        RequestTarget.RoutedTarget base = target.withoutAdapter();
        boolean hasReplica = inService(target.service()).stream()
                .anyMatch(each -> each.hasLoaded(base) && !permitted.isLimited(each));
        if (hasReplica && target.adapter() != null) {
            return missing(query, target, true, now);
        }
        if (isReplicaExpected(new RequestedArtifact(base, query.softwareVersion()), query, now)) {
            permitted.recordWait(query);
            return RouteChoice.WAIT;
        }
        permitted.recordRejection();
        return choice;
    }

    /** Lets a request wait for a replica of its model on an endpoint of the software version that began its stream. */
    private RouteChoice replicaOfVersion(RouteQuery query, RequestTarget.RoutedTarget target, long now) {
        return isReplicaExpected(new RequestedArtifact(target, query.softwareVersion()), query, now)
                ? RouteChoice.WAIT
                : RouteChoice.unreachable(RouteChoice.Cause.NO_VERSION, 0);
    }

    /** Requests a replica; returns whether it can be expected before a request must start. */
    private boolean isReplicaExpected(RequestedArtifact artifact, RouteQuery query, long now) {
        ModelProfile model = ConfiguredModels.find(configuration, artifact.target());
        if (model == null) {
            return false;
        }
        requestedArtifacts.add(artifact);
        return awaitedReplicas.isExpectedBy(artifact, model.storeLoadMillis(), query.startBy(), now);
    }

    /** Lets a request wait for a model or adapter that no endpoint has loaded, if it can be loaded in time. */
    private RouteChoice missing(RouteQuery query, RequestTarget.RoutedTarget target, boolean serviceRuns, long now) {
        ModelProfile model = serviceRuns ? ConfiguredModels.find(configuration, target) : null;
        if (model == null) {
            return RouteChoice.UNREACHABLE;
        }
        RequestedArtifact artifact = new RequestedArtifact(target, query.softwareVersion());
        requestedArtifacts.add(artifact);
        long available = arrivals.millisToArrival(artifact, loadMillis(target, model), now);
        return now + available > query.startBy()
                ? RouteChoice.unreachable(RouteChoice.Cause.NOT_HELD, available)
                : RouteChoice.WAIT;
    }

    private long loadMillis(RequestTarget.RoutedTarget target, ModelProfile model) {
        RequestTarget.RoutedTarget base = target.withoutAdapter();
        boolean isBaseLoaded = inService(target.service()).stream().anyMatch(each -> each.hasLoaded(base));
        return isBaseLoaded ? ADAPTER_MILLIS : model.storeLoadMillis();
    }

    private void configure(DirectEndpoint endpoint) {
        endpoint.setProfile(configuration.services().get(endpoint.registration().service()));
    }

    private void removeIfIdle(DirectEndpoint endpoint) {
        if (endpoint.isRemoved() && endpoint.own().inFlight() == 0) {
            endpoints.remove(endpoint.registration().id(), endpoint);
        }
    }
}
