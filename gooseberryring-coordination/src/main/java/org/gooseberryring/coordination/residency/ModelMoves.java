package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.EngineProfile;

/** Loads of models in progress on the endpoints of one failure domain, within its share of the weight store. */
final class ModelMoves {
    /** A move that has not completed within this time is cancelled. */
    private static final long TIMEOUT_MILLIS = 6_000;

    /** Moves that unload models before the weight store allows their load, since that takes until requests have ended. */
    private static final int MOVES_AHEAD = 1;

    private final Fleet fleet;
    private final Map<String, EndpointLedger> ledgers;
    private final StoreLoadBudget storeLoads = new StoreLoadBudget();
    private final Map<String, Move> moves = new TreeMap<>();

    /**
     * Load of a model until the endpoint has accepted it.
     *
     * @param requested whether requests wait for the model, otherwise it is an additional replica
     */
    private record Move(String model, List<String> evicted, boolean requested, long since) {}

    /** Sends an order for a model to an endpoint. */
    @FunctionalInterface
    interface OrderSender {
        void send(EndpointLedger ledger, ArtifactOrder.Action action, String model);
    }

    /** Creates the moves between endpoints with these ledgers by their identifier, which their owner changes. */
    ModelMoves(Fleet fleet, Map<String, EndpointLedger> ledgers) {
        this.fleet = fleet;
        this.ledgers = ledgers;
    }

    /** Forgets all moves, for example because another host may have sent orders since. */
    void clear() {
        moves.clear();
    }

    boolean isMoving(String endpoint) {
        return moves.containsKey(endpoint);
    }

    boolean isMovingTo(String endpoint, String model) {
        return moves.containsKey(endpoint) && moves.get(endpoint).model().equals(model);
    }

    /** Returns whether any endpoint could begin to load a model, which is known without a place for it. */
    boolean mayStart(RequestTarget.RoutedTarget target, long now) {
        return hasStoreLoad(target.service(), MOVES_AHEAD, now)
                || ledgers.values().stream().anyMatch(ledger -> ledger.hasCopy(target.model()));
    }

    /** Starts a move on an own endpoint that can begin a load; returns false if the weight store allows none soon. */
    boolean start(ModelPlacer.Place place, String model, boolean requested, long now) {
        EndpointLedger ledger = ledgers.get(place.endpoint().id());
        int ahead = place.evicted().isEmpty() ? 0 : MOVES_AHEAD;
        if (!ledger.hasCopy(model) && !hasStoreLoad(place.endpoint().service(), ahead, now)) {
            return false;
        }
        moves.put(place.endpoint().id(), new Move(model, place.evicted(), requested, now));
        ledger.setPlannedModel(model);
        return true;
    }

    /**
     * Returns whether the weight store allows a load beside those of the moves in progress.
     *
     * @param ahead number of moves that may be in progress beyond the loads that the weight store allows now
     */
    private boolean hasStoreLoad(String service, int ahead, long now) {
        EngineProfile engine = fleet.engine(service);
        long waiting = moves.entrySet().stream()
                .filter(entry -> needsStore(entry.getKey(), entry.getValue()))
                .count();
        return waiting < storeLoads.available(engine.storeLoadsPerSecond(), fleet.failureDomainCount(), now) + ahead;
    }

    private boolean needsStore(String endpoint, Move move) {
        EndpointLedger ledger = ledgers.get(endpoint);
        return ledger != null && !ledger.hasCopy(move.model());
    }

    /**
     * Sends the next order of each move; models are unloaded before the new one is loaded. Moves that requests wait for come
     * first, and the older ones of them, since the moves share the loads of the weight store.
     */
    void advance(OrderSender sender, long now) {
        List<Map.Entry<String, Move>> ordered = new ArrayList<>(moves.entrySet());
        ordered.sort(Comparator.comparing(
                        (Map.Entry<String, Move> entry) -> !entry.getValue().requested())
                .thenComparingLong(entry -> entry.getValue().since()));
        for (Map.Entry<String, Move> entry : ordered) {
            EndpointLedger ledger = ledgers.get(entry.getKey());
            Move move = entry.getValue();
            if (ledger == null || now - move.since() > TIMEOUT_MILLIS || ledger.isExpecting(move.model())) {
                moves.remove(entry.getKey());
                if (ledger != null) {
                    ledger.setPlannedModel(null);
                }
            } else if (ledger.isReady()) {
                step(ledger, move, sender, now);
            }
        }
    }

    private void step(EndpointLedger ledger, Move move, OrderSender sender, long now) {
        EngineProfile engine = fleet.engine(ledger.registration().service());
        if (engine == null || !engine.models().containsKey(move.model())) {
            return;
        }
        if (ledger.freeBytes(engine) >= EndpointLedger.bytes(engine, move.model(), 0)) {
            boolean copied = ledger.hasCopy(move.model());
            if (copied || storeLoads.tryAcquire(engine.storeLoadsPerSecond(), fleet.failureDomainCount(), now)) {
                sender.send(ledger, ArtifactOrder.Action.LOAD, move.model());
            }
            return;
        }
        for (String old : move.evicted()) {
            if (ledger.hasLoaded(old)) {
                sender.send(ledger, ArtifactOrder.Action.UNLOAD, old);
                return;
            }
        }
    }
}
