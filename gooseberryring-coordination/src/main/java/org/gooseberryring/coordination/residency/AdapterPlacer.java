package org.gooseberryring.coordination.residency;

import java.util.Collection;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ModelProfile;

/** Chooses the endpoint to load an adapter to, and the idle adapter to unload there if memory or slots run out. */
final class AdapterPlacer {
    /** An adapter requested within this time may have requests in flight that are not reported yet. */
    private static final long IDLE_MILLIS = 350;

    private final Fleet fleet;
    private final ArtifactDemand demand;

    AdapterPlacer(Fleet fleet, ArtifactDemand demand) {
        this.fleet = fleet;
        this.demand = demand;
    }

    /**
     * Next order for an adapter.
     *
     * @param ledger endpoint that gets the order, null if no order is to be sent now
     * @param action whether to load or unload
     * @param model model of the adapter
     * @param adapter adapter to load or unload
     * @param last whether no further order is needed after this one
     */
    record Step(EndpointLedger ledger, ArtifactOrder.Action action, String model, String adapter, boolean last) {
        private static final Step DONE = new Step(null, null, null, null, true);
        private static final Step WAIT = new Step(null, null, null, null, false);
    }

    /** Returns the next order for a requested adapter. */
    Step next(RequestTarget.RoutedTarget target, Collection<EndpointLedger> ledgers, long now) {
        EngineProfile engine = fleet.engine(target.service());
        ModelProfile model = engine == null ? null : engine.models().get(target.model());
        boolean provided = ledgers.stream().anyMatch(ledger -> isProvided(ledger, target) && isUsable(ledger, target));
        if (model == null || provided) {
            return Step.DONE;
        }
        EndpointLedger place = place(target, ledgers);
        if (place == null) {
            return Step.WAIT;
        }
        boolean fits = place.adapterCount() < engine.adapterSlots() && place.freeBytes(engine) >= model.adapterBytes();
        return fits
                ? new Step(place, ArtifactOrder.Action.LOAD, target.model(), target.adapter(), true)
                : unloadIdle(place, target.service(), now);
    }

    private static boolean isProvided(EndpointLedger ledger, RequestTarget.RoutedTarget target) {
        return ledger.hasLoaded(target.model(), target.adapter())
                || ledger.isExpecting(target.model(), target.adapter());
    }

    /** Returns the endpoint with the model that has the fewest adapters, or null if none can take an order now. */
    private EndpointLedger place(RequestTarget.RoutedTarget target, Collection<EndpointLedger> ledgers) {
        EndpointLedger best = null;
        for (EndpointLedger ledger : ledgers) {
            boolean usable = ledger.isReady()
                    && ledger.hasLoaded(target.model())
                    && isUsable(ledger, target)
                    && fleet.isInService(ledger.registration());
            if (usable && (best == null || ledger.adapterCount() < best.adapterCount())) {
                best = ledger;
            }
        }
        return best;
    }

    /** Returns whether an endpoint may provide adapters; a limited one only if the model has no other replica. */
    private boolean isUsable(EndpointLedger ledger, RequestTarget.RoutedTarget target) {
        return !fleet.isLimited(ledger.registration().id()) || fleet.replicas(target.service(), target.model()) == 0;
    }

    private Step unloadIdle(EndpointLedger ledger, String service, long now) {
        Step oldest = Step.WAIT;
        long longest = IDLE_MILLIS;
        for (String model : ledger.models()) {
            for (String adapter : ledger.adapters(model)) {
                RequestTarget.RoutedTarget target = new RequestTarget.RoutedTarget(service, model, adapter);
                long idle = demand.idleMillis(target, now);
                // The endpoint executes no other order until all requests of an adapter that it unloads have ended.
                if (idle > longest && !demand.isInUse(target, now)) {
                    longest = idle;
                    oldest = new Step(ledger, ArtifactOrder.Action.UNLOAD, model, adapter, false);
                }
            }
        }
        return oldest;
    }
}
