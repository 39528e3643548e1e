package org.gooseberryring.coordination.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.route.EndpointRouter;
import org.gooseberryring.coordination.route.RouteChoice;
import org.gooseberryring.coordination.route.RouteForecast;
import org.gooseberryring.coordination.route.RouteQuery;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ModelProfile;
import org.gooseberryring.state.PromptShape;
import org.gooseberryring.state.ResidentModel;
import org.gooseberryring.state.ServiceProfile;
import org.gooseberryring.state.ServingConfiguration;

/**
 * Chooses among all endpoints of an installation, each of which this host reaches itself.
 *
 * <p>A request goes where the fewest prompt tokens must be read before it starts; a plain request goes to the service's
 * endpoint with the smallest share of its slots taken. All methods are called from one thread.
 */
public final class DirectRouter implements EndpointRouter {
    /** Least number of hosts that share the rate of a cold endpoint, so that a new host does not take it alone. */
    private static final int MIN_COLD_SHARES = 8;

    /** Tokens that the way to another failure domain is worth; a body costs more there than within the domain. */
    private static final double OTHER_DOMAIN_TOKENS = 60;

    /** Tokens by which a fully taken endpoint slows down the request, since its requests share each step. */
    private static final double FULL_SLOTS_TOKENS = 4_000;

    /** Tokens by which an endpoint that fails all its requests is worse. */
    private static final double FAILING_TOKENS = 50_000;

    /** Tokens by which an endpoint at which the request has failed already is worse. */
    private static final double FAILED_BEFORE_TOKENS = 200_000;

    /** Time in which a controller loads an adapter to an endpoint that holds its model. */
    private static final long ADAPTER_MILLIS = 150;

    /** Artifacts that are wanted and not held; more are not loaded within the time of a request anyway. */
    private static final int MAX_WANTED = 256;

    /** A request that would start only after this multiple of the time to its objective is refused at once. */
    private static final long HOPELESS_FACTOR = 2;

    /** Time for which a request may wait in any case. */
    private static final long MIN_PATIENCE_MILLIS = 200;

    /** Part of the shared parts of prompts that endpoints have to read, since they do not keep them all. */
    private static final double READ_SHARE = 0.25;

    /** Work that each request is besides its prompt, in tokens read. */
    private static final double REQUEST_TOKENS = 200;

    /** Endpoints that other hosts use and that this one does not know yet. */
    private static final int MAX_UNREGISTERED = 256;

    /** Demand below which a target is forgotten, in tokens a second. */
    private static final double MIN_DEMAND = 1;

    private final String failureDomain;
    private final Random random;
    private final Map<String, DirectEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, List<DirectEndpoint>> byService = new HashMap<>();
    private final Map<String, ReadRate> readRates = new HashMap<>();
    private final Map<RequestTarget.RoutedTarget, DecayingRate> demand = new HashMap<>();
    private final Map<String, Map<String, EndpointUse>> unregisteredUses = new HashMap<>();
    private final Map<String, List<ResidentModel>> unregisteredHoldings = new HashMap<>();
    private final ArrivalEstimate arrivals = new ArrivalEstimate();
    private final Set<RequestTarget.RoutedTarget> wanted = new LinkedHashSet<>();
    private ServingConfiguration configuration = ServingConfiguration.none();
    private Set<String> domainsOut = Set.of();
    private FleetShare share = FleetShare.ALONE;

    /**
     * Creates a router that knows no endpoint.
     *
     * @param failureDomain failure domain of this host
     * @param random source of choices among equals, seeded by the caller
     */
    public DirectRouter(String failureDomain, Random random) {
        this.failureDomain = failureDomain;
        this.random = random;
    }

    /** Takes over a configuration. */
    public void configured(ServingConfiguration newConfiguration) {
        configuration = newConfiguration;
        endpoints.values().forEach(this::configure);
    }

    /** Takes over what an endpoint registered. */
    public void registered(EndpointRegistration registration, long now) {
        DirectEndpoint endpoint = endpoints.get(registration.id());
        if (endpoint == null) {
            ReadRate typicalRate = readRates.computeIfAbsent(registration.service(), service -> new ReadRate());
            endpoint = new DirectEndpoint(registration, typicalRate, now);
            endpoints.put(registration.id(), endpoint);
            configure(endpoint);
            unregisteredUses.getOrDefault(registration.id(), Map.of()).forEach(endpoint::usedBy);
            unregisteredUses.remove(registration.id());
            List<ResidentModel> held = unregisteredHoldings.remove(registration.id());
            if (held != null) {
                endpoint.announced(held, now);
            }
        } else {
            endpoint.registered(registration, now);
        }
        index();
    }

    /** Takes an endpoint out for good; it is kept until its last request has ended. */
    public void unregistered(String endpoint) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.removed();
            forgetIfUnused(known);
            index();
        }
    }

    /** Takes over the failure domains that get no new work. */
    public void domainsOut(Set<String> domains) {
        domainsOut = Set.copyOf(domains);
    }

    /** Takes over the place of this host among all hosts. */
    public void share(FleetShare newShare) {
        share = newShare;
    }

    /**
     * Takes over what the requests of another host take of endpoints.
     *
     * @param uses uses that have changed; an endpoint that serves none of its requests any more has no use
     * @param complete whether the host takes nothing of the endpoints that are not named
     */
    public void usedBy(String host, Map<String, EndpointUse> uses, boolean complete) {
        if (complete) {
            endpoints.values().stream()
                    .filter(endpoint ->
                            !uses.containsKey(endpoint.registration().id()))
                    .forEach(endpoint -> endpoint.usedBy(host, EndpointUse.NONE));
        }
        uses.forEach((id, use) -> {
            DirectEndpoint endpoint = endpoints.get(id);
            if (endpoint != null) {
                endpoint.usedBy(host, use);
            } else if (unregisteredUses.size() < MAX_UNREGISTERED || unregisteredUses.containsKey(id)) {
                unregisteredUses.computeIfAbsent(id, key -> new HashMap<>()).put(host, use);
            }
        });
    }

    /** Takes over that the requests of another host take nothing any more, because it is gone. */
    public void unusedBy(String host) {
        unregisteredUses.values().forEach(uses -> uses.remove(host));
        unregisteredUses.values().removeIf(Map::isEmpty);
        usedBy(host, Map.of(), true);
    }

    /** Returns what the requests of this host take of each endpoint that serves any. */
    public Map<String, EndpointUse> uses(long now) {
        Map<String, EndpointUse> uses = new HashMap<>();
        endpoints.forEach((id, endpoint) -> {
            if (endpoint.own().inFlight() > 0) {
                uses.put(id, endpoint.own().stalled(endpoint.isStalled(now)));
            }
        });
        return uses;
    }

    /** Returns the prompt parts that endpoints have read for requests of this host since the last call. */
    public List<PromptPlacement> takePlacements() {
        List<PromptPlacement> placements = new ArrayList<>();
        endpoints.forEach((id, endpoint) -> endpoint.takeReadParts()
                .forEach((model, tokens) -> placements.add(new PromptPlacement(id, model, tokens))));
        return placements;
    }

    /** Takes over the prompt parts that endpoints have read for requests of another host. */
    public void placedBy(List<PromptPlacement> placements) {
        for (PromptPlacement placement : placements) {
            DirectEndpoint endpoint = endpoints.get(placement.endpoint());
            if (endpoint != null) {
                endpoint.readForOthers(placement);
            }
        }
    }

    /** Takes over what an endpoint holds, as its controller reports it. */
    public void holds(String endpoint, List<ResidentModel> models, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.announced(models, now);
        } else if (unregisteredHoldings.size() < MAX_UNREGISTERED || unregisteredHoldings.containsKey(endpoint)) {
            unregisteredHoldings.put(endpoint, List.copyOf(models));
        }
    }

    /** Notes the failure domains whose controllers live, so that what they reported of their endpoints still holds. */
    public void controlled(Collection<String> failureDomains, long now) {
        for (DirectEndpoint endpoint : endpoints.values()) {
            if (failureDomains.contains(endpoint.registration().failureDomain())) {
                endpoint.controlled(now);
            }
        }
    }

    /** Notes that an endpoint stated that it does not hold what a request needs. */
    public void lacks(String endpoint, RequestTarget target, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null && target instanceof RequestTarget.RoutedTarget routed && routed.model() != null) {
            known.lacks(routed.model(), routed.adapter(), now);
        }
    }

    /** Takes over that a process of an endpoint wants no request of this host before a time. */
    public void backOff(EndpointProcess process, long until) {
        DirectEndpoint known = endpoints.get(process.endpoint());
        if (known != null && known.registration().process().equals(process)) {
            known.backOff(until);
        }
    }

    /** Counts a request that arrived, however it ends. */
    public void asked(RequestTarget target, PromptShape prompt, long now) {
        if (target instanceof RequestTarget.RoutedTarget routed && routed.model() != null) {
            demand.computeIfAbsent(routed, key -> new DecayingRate()).add(work(prompt), now);
        }
    }

    /** Returns what callers of this host ask for; what is hardly asked for and has nothing in flight is left out. */
    public Map<RequestTarget.RoutedTarget, ArtifactUse> demands(long now) {
        Map<RequestTarget.RoutedTarget, Integer> inFlight = new HashMap<>();
        endpoints.values().forEach(endpoint -> endpoint.countRunning(inFlight));
        demand.entrySet()
                .removeIf(
                        entry -> entry.getValue().perSecond(now) < MIN_DEMAND && !inFlight.containsKey(entry.getKey()));
        Map<RequestTarget.RoutedTarget, ArtifactUse> uses = new HashMap<>();
        demand.forEach((target, meter) ->
                uses.put(target, new ArtifactUse(meter.perSecond(now), inFlight.getOrDefault(target, 0))));
        return uses;
    }

    /** Returns the targets that requests wait for although no endpoint holds them, and forgets them. */
    public List<RequestTarget.RoutedTarget> takeWanted() {
        List<RequestTarget.RoutedTarget> taken = new ArrayList<>(wanted);
        wanted.clear();
        return taken;
    }

    @Override
    public RouteChoice choose(RouteQuery query, long now) {
        if (!(query.target() instanceof RequestTarget.RoutedTarget target)) {
            return RouteChoice.UNREACHABLE;
        }
        List<DirectEndpoint> inService = inService(target.service());
        List<DirectEndpoint> holders = new ArrayList<>();
        for (DirectEndpoint endpoint : inService) {
            if (endpoint.holds(target)) {
                holders.add(endpoint);
            }
        }
        if (holders.isEmpty()) {
            return missing(query, target, !inService.isEmpty(), now);
        }
        arrivals.arrived(target);
        DirectEndpoint best = cheapest(holders, query, now);
        return best == null ? waiting(holders, query, now) : best.choice();
    }

    @Override
    public RouteForecast started(String endpoint, RouteQuery query, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        return known == null ? RouteForecast.NONE : known.started(query, coldShare(), now);
    }

    @Override
    public void onFirstByte(String endpoint, RouteQuery query, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.onFirstByte(query, now);
        }
    }

    @Override
    public void ended(String endpoint, RouteQuery query, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.ended(query, now);
            forgetIfUnused(known);
        }
    }

    @Override
    public boolean isStalled(String endpoint, RouteQuery query, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        return known != null && known.isStalled(query, now);
    }

    @Override
    public void succeeded(String endpoint, long firstTokenMillis, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.health().succeeded();
        }
    }

    @Override
    public void failed(String endpoint, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        // What an endpoint refuses because it wants no request now says nothing about those that it accepts.
        if (known != null && known.backOffMillis(now) == 0) {
            known.health().failed();
        }
    }

    @Override
    public long lossEpoch(String endpoint) {
        DirectEndpoint known = endpoints.get(endpoint);
        return known == null ? 0 : known.health().lossEpoch();
    }

    @Override
    public void lost(String endpoint, long epochAtDispatch, long now) {
        DirectEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.health().lost(epochAtDispatch, now);
        }
    }

    @Override
    public boolean tick(long now) {
        return false;
    }

    private List<DirectEndpoint> inService(String service) {
        List<DirectEndpoint> inService = new ArrayList<>();
        for (DirectEndpoint endpoint : byService.getOrDefault(service, List.of())) {
            if (endpoint.inService(domainsOut)) {
                inService.add(endpoint);
            }
        }
        return inService;
    }

    /** Returns the endpoint with room that costs the request least, or null if none has room. */
    private DirectEndpoint cheapest(List<DirectEndpoint> holders, RouteQuery query, long now) {
        DirectEndpoint best = null;
        double bestCost = Double.MAX_VALUE;
        for (DirectEndpoint endpoint : holders) {
            if (!endpoint.hasRoom(query, coldShare(), now)) {
                continue;
            }
            double cost = cost(endpoint, query);
            if (cost < bestCost || cost == bestCost && random.nextBoolean()) {
                best = endpoint;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Lets a request wait for room, unless it has missed its objective, so much waits that it would start far too late, or
     * all endpoints want no request up to the time by which it must start.
     */
    private static RouteChoice waiting(List<DirectEndpoint> holders, RouteQuery query, long now) {
        long soonest = Long.MAX_VALUE;
        long refused = Long.MAX_VALUE;
        for (DirectEndpoint endpoint : holders) {
            soonest = Math.min(soonest, endpoint.millisToStart(query));
            refused = Math.min(refused, endpoint.backOffMillis(now));
        }
        if (refused > 0 && now + refused > query.startBy()) {
            return RouteChoice.unreachable(RouteChoice.Cause.BACK_OFF, refused);
        }
        long patience = HOPELESS_FACTOR * Math.max(query.objective() - now, 0) + MIN_PATIENCE_MILLIS;
        boolean late = now > query.objective() + MIN_PATIENCE_MILLIS;
        boolean hopeless = query.prompt().inputTokens() > 0 && (late || soonest > patience);
        return hopeless
                ? RouteChoice.unreachable(RouteChoice.Cause.BUSY, Math.max(soonest, MIN_PATIENCE_MILLIS))
                : RouteChoice.WAIT;
    }

    /** Lets a request wait for what no endpoint holds, if it can be loaded in time. */
    private RouteChoice missing(RouteQuery query, RequestTarget.RoutedTarget target, boolean serviceRuns, long now) {
        ModelProfile model = serviceRuns ? model(target) : null;
        if (model == null) {
            return RouteChoice.UNREACHABLE;
        }
        if (wanted.size() < MAX_WANTED) {
            wanted.add(target);
        }
        long available = arrivals.millisToArrival(target, loadMillis(target, model), now);
        return now + available > query.startBy()
                ? RouteChoice.unreachable(RouteChoice.Cause.NOT_HELD, available)
                : RouteChoice.WAIT;
    }

    private long loadMillis(RequestTarget.RoutedTarget target, ModelProfile model) {
        RequestTarget.RoutedTarget base = new RequestTarget.RoutedTarget(target.service(), target.model(), null);
        for (DirectEndpoint endpoint : inService(target.service())) {
            if (endpoint.holds(base)) {
                return ADAPTER_MILLIS;
            }
        }
        return model.storeLoadMillis();
    }

    /** Returns the tokens that an endpoint has to read for a prompt, most of whose shared parts it keeps. */
    private static double work(PromptShape prompt) {
        List<PromptShape.Part> parts = prompt.parts();
        int last = parts.isEmpty()
                ? prompt.inputTokens()
                : parts.get(parts.size() - 1).tokens();
        return last + READ_SHARE * (prompt.inputTokens() - last) + REQUEST_TOKENS;
    }

    private double cost(DirectEndpoint endpoint, RouteQuery query) {
        double cost = endpoint.tokensAhead(query) + FULL_SLOTS_TOKENS * endpoint.utilisation();
        cost += FAILING_TOKENS * endpoint.health().failureShare();
        if (!endpoint.registration().failureDomain().equals(failureDomain)) {
            cost += OTHER_DOMAIN_TOKENS;
        }
        return query.failedAt().contains(endpoint.registration().id()) ? cost + FAILED_BEFORE_TOKENS : cost;
    }

    /** Returns the model of a target if the configuration has it and its adapter, otherwise null. */
    private ModelProfile model(RequestTarget.RoutedTarget target) {
        ServiceProfile service = configuration.services().get(target.service());
        EngineProfile engine = service == null ? null : service.engine();
        ModelProfile model = engine == null || target.model() == null
                ? null
                : engine.models().get(target.model());
        boolean known = model != null && (target.adapter() == null || model.hasAdapter(target.adapter()));
        return known ? model : null;
    }

    private FleetShare coldShare() {
        return share.ofAtLeast(MIN_COLD_SHARES);
    }

    private void configure(DirectEndpoint endpoint) {
        endpoint.profile(configuration.services().get(endpoint.registration().service()));
    }

    private void forgetIfUnused(DirectEndpoint endpoint) {
        if (endpoint.isRemoved() && endpoint.own().inFlight() == 0) {
            endpoints.remove(endpoint.registration().id(), endpoint);
        }
    }

    private void index() {
        byService.clear();
        for (DirectEndpoint endpoint : endpoints.values()) {
            byService
                    .computeIfAbsent(endpoint.registration().service(), service -> new ArrayList<>())
                    .add(endpoint);
        }
    }
}
