package org.gooseberryring.coordination.residency;

import java.util.Collection;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.EngineProfile;
import org.gooseberryring.state.ModelProfile;

/** Chooses the endpoint that an adapter is loaded to, and the adapter that makes room for it there. */
final class AdapterPlacer {
    /** An adapter that was asked for within this time may have requests in flight that are not known yet. */
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
     * @param ledger endpoint to order, null if there is nothing to order now
     * @param action what to order
     * @param model model of the adapter to order
     * @param adapter adapter to load or unload
     * @param last whether nothing is left to do after this order
     */
    record Step(EndpointLedger ledger, ArtifactOrder.Action action, String model, String adapter, boolean last) {
        private static final Step DONE = new Step(null, null, null, null, true);
        private static final Step WAIT = new Step(null, null, null, null, false);
    }

    /** Returns the next order for an adapter that is wanted. */
    Step next(RequestTarget.RoutedTarget target, Collection<EndpointLedger> ledgers, long now) {
        EngineProfile engine = fleet.engine(target.service());
        ModelProfile model = engine == null ? null : engine.models().get(target.model());
        boolean provided = ledgers.stream().anyMatch(ledger -> isProvided(ledger, target));
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

    /** Returns the endpoint with the model that has the fewest adapters, or null if none can be ordered now. */
    private EndpointLedger place(RequestTarget.RoutedTarget target, Collection<EndpointLedger> ledgers) {
        EndpointLedger best = null;
        for (EndpointLedger ledger : ledgers) {
            boolean usable = ledger.isReady()
                    && ledger.hasLoaded(target.model())
                    && fleet.inService(target.service()).contains(ledger.registration());
            if (usable && (best == null || ledger.adapterCount() < best.adapterCount())) {
                best = ledger;
            }
        }
        return best;
    }

    private Step unloadIdle(EndpointLedger ledger, String service, long now) {
        Step oldest = Step.WAIT;
        long longest = IDLE_MILLIS;
        for (String model : ledger.models()) {
            for (String adapter : ledger.adapters(model)) {
                RequestTarget.RoutedTarget target = new RequestTarget.RoutedTarget(service, model, adapter);
                long idle = demand.idleMillis(target, now);
                // The endpoint carries out no other order until the requests of an adapter that it unloads have ended.
                if (idle > longest && !demand.isInUse(target, now)) {
                    longest = idle;
                    oldest = new Step(ledger, ArtifactOrder.Action.UNLOAD, model, adapter, false);
                }
            }
        }
        return oldest;
    }
}
