package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.gooseberryring.coordination.membership.Rendezvous;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ServingConfiguration;

/**
 * Decides which models and adapters are loaded on the endpoints of one failure domain.
 *
 * <p>Only the lease holder of the failure domain sends orders. Models that requests wait for come first, followed by
 * additional replicas of models in demand. The controllers of all failure domains select from the same fleet, but each
 * sends orders only to the endpoints of its own failure domain.
 */
public final class ResidencyController {
    /** A model requested within this time is not unloaded if it has no other replica. */
    private static final long IDLE_MODEL_MILLIS = 4_000;

    /** The last replica of a model requested within this time is not unloaded for an additional replica of another. */
    private static final long IDLE_REPLICA_MILLIS = 8_000;

    /**
     * A replica is deferred to another failure domain for up to {@code MAX_DEFERRALS} rounds if its local cost exceeds
     * the lowest cost by this factor and {@code LOCAL_COST_MARGIN}.
     */
    private static final double LOCAL_COST_FACTOR = 1.5;

    private static final double LOCAL_COST_MARGIN = 1_000;
    private static final int MAX_DEFERRALS = 2;

    /** Time after which a requested model that no other failure domain has loaded is loaded to this one. */
    private static final long REMOTE_LOAD_TIMEOUT_MILLIS = 1_500;

    /** Interval between the failure domains' fallback loads; a load is announced to the others well within it. */
    private static final long FALLBACK_INTERVAL_MILLIS = 400;

    private static final long REBALANCE_INTERVAL_MILLIS = 500;

    /**
     * Minimum ratio of the demand for a model on limited endpoints to that for a model that gives it its place; the
     * callers of the latter wait for a load.
     */
    private static final double MIN_EXCHANGE_FACTOR = 2;

    /** Time for which requests must have been rejected before that, since a rate limit may end soon. */
    private static final long EXCHANGE_DELAY_MILLIS = 1_000;

    private final String failureDomain;
    private final Fleet fleet = new Fleet();
    private final ModelPlacer placer = new ModelPlacer(fleet);
    private final ReplicaBalance balance = new ReplicaBalance(fleet, placer);
    private final ArtifactDemand demand = new ArtifactDemand();
    private final AdapterPlacer adapters = new AdapterPlacer(fleet, demand);
    private final Map<String, EndpointLedger> ledgers = new TreeMap<>();
    private final ModelMoves moves = new ModelMoves(fleet, ledgers);
    private final AwaitedArtifacts awaited = new AwaitedArtifacts();
    private long term;
    private boolean leading;
    private boolean requestsWaiting;
    private boolean modelWaitsForStore;
    private long rebalanceAt;
    private int deferrals;

    /**
     * Failure domains whose controllers can provide an artifact, in order of preference.
     *
     * @param all whether to request the artifact from all of them, otherwise one after the other until it is loaded
     */
    public record Providers(List<String> domains, boolean all) {}

    /** Creates the controller of a failure domain, which does not hold the lease yet. */
    public ResidencyController(String failureDomain) {
        this.failureDomain = failureDomain;
    }

    /** Handles a new configuration. */
    public void onConfigurationChanged(ServingConfiguration configuration) {
        fleet.setConfiguration(configuration);
        fleet.registrations().forEach(this::ensureLedger);
    }

    /** Handles the registration of an endpoint. */
    public void onEndpointRegistered(EndpointRegistration registration) {
        fleet.onRegistered(registration);
        ensureLedger(registration);
    }

    /** Handles the permanent removal of an endpoint. */
    public void onEndpointRemoved(String endpoint) {
        fleet.onRemoved(endpoint);
        ledgers.remove(endpoint);
    }

    /** Sets the drained failure domains, which get no new requests. */
    public void setDrainedDomains(Set<String> domains) {
        fleet.setDrainedDomains(domains);
    }

    /** Handles the artifacts of an endpoint as announced by the controller of its failure domain. */
    public void onAnnouncement(ResidencyEffect.Announce announcement) {
        fleet.setModels(announcement.endpoint(), announcement.models(), announcement.loading());
    }

    /** Handles the demand that a host reports for its callers. */
    public void onHostDemand(String host, Map<RequestTarget.RoutedTarget, ArtifactUse> uses, long now) {
        demand.onHostDemand(host, uses, now);
    }

    /** Records that requests wait for artifacts. */
    public void onArtifactsRequested(Collection<RequestedArtifact> artifacts, long now) {
        artifacts.forEach(artifact -> demand.recordUse(artifact.target(), now));
        awaited.onRequested(artifacts, now);
        requestsWaiting = requestsWaiting || !artifacts.isEmpty();
    }

    /**
     * Returns the failure domains whose controllers can provide an artifact.
     *
     * <p>For an adapter, all hosts choose the same endpoint among those with its model, so that the adapters are spread
     * over these endpoints. A model that is not loaded is requested from all controllers.
     */
    public Providers providers(RequestedArtifact requested) {
        RequestTarget.RoutedTarget target = requested.target();
        Set<String> all = new TreeSet<>();
        Map<String, String> domainsByEndpoint = new TreeMap<>();
        for (EndpointRegistration endpoint : fleet.inService(target.service(), requested.softwareVersion())) {
            all.add(endpoint.failureDomain());
            if (fleet.hasModel(endpoint.id(), target.model()) && !fleet.isLimited(endpoint.id())) {
                domainsByEndpoint.put(endpoint.id(), endpoint.failureDomain());
            }
        }
        if (domainsByEndpoint.isEmpty()) {
            return new Providers(List.copyOf(all), true);
        }
        String artifact = target.model() + '/' + target.adapter();
        List<String> ordered = Rendezvous.top(domainsByEndpoint.keySet(), artifact, domainsByEndpoint.size()).stream()
                .map(domainsByEndpoint::get)
                .distinct()
                .toList();
        return new Providers(ordered, false);
    }

    /** Handles the status of an endpoint. */
    public void onStatus(EndpointStatus status, long now) {
        EndpointLedger ledger = ledgers.get(status.endpoint());
        if (ledger != null) {
            ledger.onStatus(status, now);
        }
    }

    /** Sets the rate limit of an endpoint. */
    public void setRateLimit(String endpoint, RateLimit limit) {
        fleet.setRateLimit(endpoint, limit);
        EndpointLedger ledger = ledgers.get(endpoint);
        if (ledger != null) {
            ledger.setRateLimit(limit);
        }
    }

    /** Handles a status request without a response. */
    public void onStatusFailure(String endpoint) {
        EndpointLedger ledger = ledgers.get(endpoint);
        if (ledger != null) {
            ledger.onStatusFailure();
        }
    }

    /** Handles the result of an order. */
    public void onOrderResult(ArtifactOrder order, OrderResult result, long now) {
        EndpointLedger ledger = ledgers.get(order.endpoint());
        if (ledger != null) {
            ledger.onOrderResult(order, result, now);
        }
    }

    /** Returns whether an artifact is awaited, so that the next tick is due within a few milliseconds. */
    public boolean isDue() {
        return leading && (requestsWaiting || ledgers.values().stream().anyMatch(EndpointLedger::isAwaitingAdapter));
    }

    /**
     * Returns the effects to apply now; called many times per second.
     *
     * @param leadingTerm fencing number while this host may send orders, 0 otherwise
     */
    public List<ResidencyEffect> onTick(long leadingTerm, long now) {
        leading = leadingTerm != 0;
        if (!leading) {
            awaited.forgetOld(now);
            return List.of();
        }
        if (leadingTerm != term) {
            term = leadingTerm;
            ledgers.values().forEach(EndpointLedger::reset);
            moves.clear();
        }
        List<ResidencyEffect> effects = new ArrayList<>();
        for (EndpointLedger ledger : ledgers.values()) {
            ledger.onTick(now);
            if (ledger.startStatusRequest(now)) {
                effects.add(
                        new ResidencyEffect.RequestStatus(ledger.registration().id()));
            }
        }
        orderRequestedArtifacts(effects, now);
        rebalance(now);
        moves.advance((ledger, action, model) -> sendOrder(ledger, action, model, null, effects), now);
        announce(effects);
        return effects;
    }

    private void ensureLedger(EndpointRegistration registration) {
        boolean own =
                registration.failureDomain().equals(failureDomain) && fleet.engine(registration.service()) != null;
        if (own) {
            ledgers.computeIfAbsent(registration.id(), id -> new EndpointLedger(registration))
                    .onRegistered(registration);
        }
    }

    private double modelDemand(RequestedArtifact artifact, long now) {
        return demand.modelDemand(artifact.target().service(), artifact.target().model(), now);
    }

    private void orderRequestedArtifacts(List<ResidencyEffect> effects, long now) {
        modelWaitsForStore = false;
        List<AwaitedArtifacts.Awaited> requested = awaited.byUrgency(artifact -> modelDemand(artifact, now), now);
        for (AwaitedArtifacts.Awaited each : requested) {
            RequestedArtifact artifact = each.artifact();
            boolean isModel = artifact.target().adapter() == null;
            boolean present = isModel ? fleet.replicas(artifact) > 0 : fleet.isHeld(artifact);
            boolean done = present
                    ? isModel || loadAdapter(artifact, effects, now)
                    : loadRequestedModel(artifact, each.since(), now);
            if (done) {
                awaited.remove(artifact);
            }
        }
        requestsWaiting = awaited.hasRequests(now);
    }

    /** Sends the next order for an adapter; returns whether no further order is needed. */
    private boolean loadAdapter(RequestedArtifact artifact, List<ResidencyEffect> effects, long now) {
        AdapterPlacer.Step step = adapters.next(artifact.target(), ledgers(artifact), now);
        if (step.ledger() != null) {
            sendOrder(step.ledger(), step.action(), step.model(), step.adapter(), effects);
        }
        return step.last();
    }

    /** Returns the endpoints of this failure domain that may provide an artifact. */
    private List<EndpointLedger> ledgers(RequestedArtifact artifact) {
        return ledgers.values().stream()
                .filter(ledger -> Fleet.hasVersion(ledger.registration(), artifact.softwareVersion()))
                .toList();
    }

    /** Starts to load a model that no endpoint without a low rate limit has; returns true if it cannot be loaded. */
    private boolean loadRequestedModel(RequestedArtifact artifact, long since, long now) {
        RequestTarget.RoutedTarget target = artifact.target();
        EngineProfile engine = fleet.engine(target.service());
        if (engine == null || !engine.models().containsKey(target.model())) {
            return true;
        }
        boolean expected = ledgers(artifact).stream()
                .anyMatch(ledger -> moves.isMovingTo(ledger.registration().id(), target.model())
                        || ledger.isExpecting(target.model())
                                && !fleet.isLimited(ledger.registration().id()));
        if (expected) {
            return false;
        }
        if (!moves.mayStart(target, now)) {
            modelWaitsForStore = true;
            return false;
        }
        ModelPlacer.Place place = place(artifact, since, now);
        if (place != null && isOwn(place.endpoint()) && !moves.start(place, target.model(), true, now)) {
            modelWaitsForStore = true;
        }
        return false;
    }

    /** Returns where to load a requested model, or null if there is no place. */
    private ModelPlacer.Place place(RequestedArtifact artifact, long since, long now) {
        RequestTarget.RoutedTarget target = artifact.target();
        Predicate<EndpointRegistration> usable = usable(artifact, since, now);
        ModelPlacer.UnloadCondition unneeded = (endpoint, model) -> canUnload(endpoint, model, IDLE_MODEL_MILLIS, now);
        ModelPlacer.Place place = place(target, usable.and(this::isUnlimited), unneeded, now);
        if (place != null) {
            return place;
        }
        return fleet.isHeld(artifact)
                ? placeOfRarerModel(artifact, since + EXCHANGE_DELAY_MILLIS, now)
                : place(target, usable, unneeded, now);
    }

    /**
     * Returns the place of a model with less demand than a model that only limited endpoints have, or null if there is
     * none. The former is then loaded to a limited endpoint when it is requested.
     */
    private ModelPlacer.Place placeOfRarerModel(RequestedArtifact artifact, long since, long now) {
        if (now < since) {
            return null;
        }
        RequestTarget.RoutedTarget target = artifact.target();
        double maxDemand = demand.modelDemand(target.service(), target.model(), now) / MIN_EXCHANGE_FACTOR;
        ModelPlacer.UnloadCondition rarer = (endpoint, model) -> canUnload(endpoint, model, IDLE_MODEL_MILLIS, now)
                || !moves.isMoving(endpoint.id()) && demand.modelDemand(endpoint.service(), model, now) < maxDemand;
        return place(target, usable(artifact, since, now).and(this::isUnlimited), rarer, now);
    }

    /**
     * Returns the endpoints to choose from: all that can begin a load now, or only the own ones while it is this failure
     * domain's turn because another one should have acted.
     */
    private Predicate<EndpointRegistration> usable(RequestedArtifact artifact, long since, long now) {
        boolean anywhere = !isFallbackTurn(artifact.target(), now - since);
        return endpoint -> (anywhere || isOwn(endpoint))
                && canBeginLoad(endpoint)
                && Fleet.hasVersion(endpoint, artifact.softwareVersion());
    }

    /** Returns whether an endpoint is not loading a model, nor about to, as far as is known here. */
    private boolean canBeginLoad(EndpointRegistration endpoint) {
        EndpointLedger ledger = ledgers.get(endpoint.id());
        return ledger == null
                ? !fleet.isLoading(endpoint.id())
                : ledger.isOpenForModels() && !moves.isMoving(endpoint.id());
    }

    /** Returns whether this failure domain loads a model as a fallback; the domains take turns, so that one at a time does. */
    private boolean isFallbackTurn(RequestTarget.RoutedTarget target, long waitedMillis) {
        long overdue = waitedMillis - REMOTE_LOAD_TIMEOUT_MILLIS;
        if (overdue < 0) {
            return false;
        }
        List<String> domains = fallbackOrder(target);
        int turn = (int) (overdue / FALLBACK_INTERVAL_MILLIS % domains.size());
        return failureDomain.equals(domains.get(turn));
    }

    private ModelPlacer.Place place(
            RequestTarget.RoutedTarget target,
            Predicate<EndpointRegistration> usable,
            ModelPlacer.UnloadCondition unloadable,
            long now) {
        return placer.cheapest(
                target.service(),
                target.model(),
                model -> demand.modelDemand(target.service(), model, now),
                usable,
                unloadable);
    }

    /** Returns the order in which the failure domains load a model as a fallback. */
    private List<String> fallbackOrder(RequestTarget.RoutedTarget target) {
        Set<String> domains = new TreeSet<>(Set.of(failureDomain));
        fleet.inService(target.service()).forEach(endpoint -> domains.add(endpoint.failureDomain()));
        return Rendezvous.top(domains, target.model(), domains.size());
    }

    /** Returns whether a model may be unloaded: it is idle for some time or has a replica elsewhere. */
    private boolean canUnload(EndpointRegistration endpoint, String model, long idleMillis, long now) {
        RequestTarget.RoutedTarget target = new RequestTarget.RoutedTarget(endpoint.service(), model, null);
        return !moves.isMoving(endpoint.id())
                && (demand.idleMillis(target, now) > idleMillis || fleet.hasReplicaElsewhere(endpoint, model));
    }

    private boolean isUnlimited(EndpointRegistration endpoint) {
        return !fleet.isLimited(endpoint.id());
    }

    private boolean isOwn(EndpointRegistration endpoint) {
        return ledgers.containsKey(endpoint.id());
    }

    private void rebalance(long now) {
        if (now < rebalanceAt) {
            return;
        }
        rebalanceAt = now + REBALANCE_INTERVAL_MILLIS;
        for (String service : fleet.engineServices()) {
            ReplicaBalance.Move best = next(service, endpoint -> true, now);
            ReplicaBalance.Move own = next(service, this::isOwn, now);
            boolean remoteIsCheaper = best != null
                    && own != null
                    && own.place().cost() > LOCAL_COST_FACTOR * best.place().cost() + LOCAL_COST_MARGIN;
            deferrals = remoteIsCheaper ? deferrals + 1 : 0;
            // The controller of the cheaper failure domain may have failed.
            if (own != null && !modelWaitsForStore && (!remoteIsCheaper || deferrals > MAX_DEFERRALS)) {
                moves.start(own.place(), own.model(), false, now);
            }
        }
    }

    private ReplicaBalance.Move next(String service, Predicate<EndpointRegistration> usable, long now) {
        return balance.next(
                service,
                model -> demand.modelDemand(service, model, now),
                usable.and(this::isUnlimited).and(this::canBeginLoad),
                (endpoint, model) -> canUnload(endpoint, model, IDLE_REPLICA_MILLIS, now));
    }

    private void sendOrder(
            EndpointLedger ledger,
            ArtifactOrder.Action action,
            String model,
            String adapter,
            List<ResidencyEffect> effects) {
        effects.add(new ResidencyEffect.Send(ledger.order(action, model, adapter, term)));
    }

    private void announce(List<ResidencyEffect> effects) {
        for (EndpointLedger ledger : ledgers.values()) {
            if (ledger.takeChanged()) {
                ResidencyEffect.Announce announcement = ledger.announcement();
                onAnnouncement(announcement);
                effects.add(announcement);
            }
        }
    }
}
