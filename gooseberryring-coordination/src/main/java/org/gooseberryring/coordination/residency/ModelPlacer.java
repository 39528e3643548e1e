package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.EngineProfile;

/** Chooses the endpoint to load a model to, and the models to unload there if memory is short. */
final class ModelPlacer {
    /** Cost of each model that must be unloaded before a load, in tokens per second of demand. */
    private static final double EVICTION_COST = 100;

    /** Additional cost of unloading the last replica of a model, in tokens per second of demand. */
    private static final double LAST_REPLICA_COST = 1_500;

    private final Fleet fleet;

    ModelPlacer(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Placement of a model.
     *
     * @param endpoint endpoint to load the model to
     * @param evicted models to unload there first
     * @param cost demand on the endpoint plus the cost of the unloads, in tokens per second
     */
    record Place(EndpointRegistration endpoint, List<String> evicted, double cost) {}

    /**
     * Returns the cheapest placement of a model, or null if there is none.
     *
     * @param demand demand for a model of the service in tokens per second
     * @param usable endpoints to choose from
     * @param movable whether a model may be unloaded from an endpoint
     */
    Place cheapest(
            String service,
            String model,
            ToDoubleFunction<String> demand,
            Predicate<EndpointRegistration> usable,
            UnloadCondition unloadable) {
        EngineProfile engine = fleet.engine(service);
        Place best = null;
        for (EndpointRegistration endpoint : fleet.inService(service)) {
            if (fleet.hasModel(endpoint.id(), model) || !usable.test(endpoint)) {
                continue;
            }
            Place place = place(engine, endpoint, model, demand, unloadable);
            if (place != null && (best == null || place.cost() < best.cost())) {
                best = place;
            }
        }
        return best;
    }

    /**
     * Returns the demand on an endpoint in tokens per second, with the demand for a model split over its replicas. A
     * limited endpoint has the demand of the models that have no replica elsewhere.
     */
    double load(EndpointRegistration endpoint, ToDoubleFunction<String> demand) {
        double load = 0;
        boolean limited = fleet.isLimited(endpoint.id());
        for (String model : fleet.models(endpoint.id())) {
            int replicas = fleet.replicas(endpoint.service(), model);
            load += limited && replicas > 0 ? 0 : demand.applyAsDouble(model) / Math.max(1, replicas);
        }
        return load;
    }

    private Place place(
            EngineProfile engine,
            EndpointRegistration endpoint,
            String model,
            ToDoubleFunction<String> demand,
            UnloadCondition unloadable) {
        long free = engine.memoryBytes();
        for (String loaded : fleet.models(endpoint.id())) {
            free -= EndpointLedger.bytes(engine, loaded, 0);
        }
        long needed = EndpointLedger.bytes(engine, model, 0);
        double cost = load(endpoint, demand);
        List<String> candidates = new ArrayList<>(fleet.models(endpoint.id()));
        candidates.sort(Comparator.<String>comparingDouble(loaded -> lostDemand(endpoint, loaded, demand))
                .thenComparing(Comparator.naturalOrder()));
        List<String> evicted = new ArrayList<>();
        for (String loaded : candidates) {
            if (free >= needed) {
                break;
            }
            if (unloadable.canUnload(endpoint, loaded)) {
                evicted.add(loaded);
                free += EndpointLedger.bytes(engine, loaded, 0);
                cost += EVICTION_COST + lostDemand(endpoint, loaded, demand);
            }
        }
        return free >= needed ? new Place(endpoint, evicted, cost) : null;
    }

    private double lostDemand(EndpointRegistration endpoint, String loaded, ToDoubleFunction<String> demand) {
        if (!fleet.hasReplicaElsewhere(endpoint, loaded)) {
            return demand.applyAsDouble(loaded) + LAST_REPLICA_COST;
        }
        return fleet.isLimited(endpoint.id())
                ? 0
                : demand.applyAsDouble(loaded) / fleet.replicas(endpoint.service(), loaded);
    }

    /** Decides whether a model may be unloaded from an endpoint. */
    @FunctionalInterface
    interface UnloadCondition {
        boolean canUnload(EndpointRegistration endpoint, String model);
    }
}
