package org.gooseberryring.coordination.residency;

import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.gooseberryring.state.EndpointRegistration;

/** Finds the model of the busiest endpoint whose next replica reduces the load of that endpoint most. */
final class ReplicaBalance {
    /** Demand on an endpoint above which another replica of one of its models is worth a load, in tokens per second. */
    private static final double BUSY_TOKENS_PER_SECOND = 6_000;

    /** Maximum cost of the new placement with its share of demand, relative to the load of the busiest endpoint. */
    private static final double MAX_PLACE_SHARE = 0.8;

    /** Minimum part of the busiest endpoint's load that a replica must remove to be worth a load. */
    private static final double MIN_RELIEF_SHARE = 0.1;

    private final Fleet fleet;
    private final ModelPlacer placer;

    ReplicaBalance(Fleet fleet, ModelPlacer placer) {
        this.fleet = fleet;
        this.placer = placer;
    }

    /**
     * Replica to add.
     *
     * @param model model to load
     * @param place where to load it
     */
    record Move(String model, ModelPlacer.Place place) {}

    /**
     * Returns the next replica to add for a service, or null if none is worth a load.
     *
     * @param demand demand for a model of the service in tokens per second
     * @param usable endpoints to choose from
     * @param movable whether a model may be unloaded from an endpoint
     */
    Move next(
            String service,
            ToDoubleFunction<String> demand,
            Predicate<EndpointRegistration> usable,
            ModelPlacer.UnloadCondition unloadable) {
        EndpointRegistration busiest = busiest(service, demand);
        if (busiest == null) {
            return null;
        }
        double load = placer.load(busiest, demand);
        Move best = null;
        double mostRelief = MIN_RELIEF_SHARE * load;
        for (String model : fleet.models(busiest.id())) {
            ModelPlacer.Place place = placer.cheapest(service, model, demand, usable, unloadable);
            int replicas = Math.max(1, fleet.replicas(service, model));
            double taken = demand.applyAsDouble(model) / (replicas + 1);
            double relief = demand.applyAsDouble(model) / replicas - taken;
            if (place != null && relief > mostRelief && place.cost() + taken < MAX_PLACE_SHARE * load) {
                best = new Move(model, place);
                mostRelief = relief;
            }
        }
        return best;
    }

    private EndpointRegistration busiest(String service, ToDoubleFunction<String> demand) {
        EndpointRegistration busiest = null;
        double most = BUSY_TOKENS_PER_SECOND;
        for (EndpointRegistration endpoint : fleet.inService(service)) {
            double load = placer.load(endpoint, demand);
            if (load > most) {
                most = load;
                busiest = endpoint;
            }
        }
        return busiest;
    }
}
