package org.gooseberryring.coordination.residency;

import java.util.function.ToDoubleFunction;

import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.EngineProfile;

/** Finds the model whose next replica takes most load off the endpoints that hold it. */
final class ReplicaBalance {
    /** Demand on one replica from which another one is worth its load, in tokens a second. */
    private static final double BUSY_TOKENS_PER_SECOND = 12_000;

    /** Part of the demand on a replica that the place for another one may have at most. */
    private static final double MAX_PLACE_SHARE = 0.5;

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

    /** Returns the next replica to add for a service, or null if none is worth it. */
    Move next(String service, ToDoubleFunction<String> demand) {
        EngineProfile engine = fleet.engine(service);
        String busiest = null;
        double most = BUSY_TOKENS_PER_SECOND;
        for (String model : engine.models().keySet()) {
            int replicas = fleet.replicas(service, model);
            double each = replicas == 0 ? 0 : leastLoadedHolder(service, model, demand);
            if (each > most) {
                most = each;
                busiest = model;
            }
        }
        if (busiest == null) {
            return null;
        }
        ModelPlacer.Place place =
                placer.cheapest(service, busiest, demand, (endpoint, model) -> fleet.replicas(service, model) > 1);
        return place == null || place.cost() > MAX_PLACE_SHARE * most ? null : new Move(busiest, place);
    }

    /** Returns the demand on the least loaded endpoint that holds a model, which takes the model's next request. */
    private double leastLoadedHolder(String service, String model, ToDoubleFunction<String> demand) {
        double least = Double.MAX_VALUE;
        for (EndpointRegistration endpoint : fleet.inService(service)) {
            if (fleet.holds(endpoint.id(), model)) {
                least = Math.min(least, placer.load(endpoint, demand));
            }
        }
        boolean asked = demand.applyAsDouble(model) > 0;
        return asked && least < Double.MAX_VALUE ? least : 0;
    }
}
