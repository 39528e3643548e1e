package org.gooseberryring.standins;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.OrderDocument;
import org.gooseberryring.protocol.OrderState;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.GooseberryringException;

/** Accepts the orders to an engine stand-in and applies them; loads take as long as the weight store needs. */
final class EngineOrders {
    static final String PATH = "/v1/orders";
    private static final String OUT_OF_MEMORY = "out of memory";
    private static final String BASE_MODEL_NOT_LOADED = "the model of the adapter is not loaded";

    private final Faults faults;
    private final EngineMemory memory;
    private final WeightStoreStandIn weights;
    private final boolean fencingEnforced;
    private final Consumer<Artifact> onUnload;
    private final Consumer<String> onRoleChange;
    private final Map<String, OrderState> states = new ConcurrentSkipListMap<>();
    private final Map<String, Integer> applied = new ConcurrentSkipListMap<>();
    private final AtomicLong highestTerm = new AtomicLong();
    private final AtomicLong fenced = new AtomicLong();
    private volatile long generation;

    EngineOrders(
            Faults faults,
            EngineMemory memory,
            WeightStoreStandIn weights,
            boolean fencingEnforced,
            Consumer<Artifact> onUnload,
            Consumer<String> onRoleChange) {
        this.faults = faults;
        this.memory = memory;
        this.weights = weights;
        this.fencingEnforced = fencingEnforced;
        this.onUnload = onUnload;
        this.onRoleChange = onRoleChange;
    }

    void post(Call call) {
        OrderDocument order;
        try {
            order = Json.read(call.body(), OrderDocument.class);
        } catch (GooseberryringException e) {
            call.respondWithStatus(400);
            return;
        }
        if (faults.consume(InjectedFault.LOSE_ORDERS)) {
            call.closeConnection();
            return;
        }
        // A delayed order takes effect even if its sender has closed the connection, so the delay does not depend on
        // it.
        long delay = faults.value(InjectedFault.DELAY_ORDERS_MILLIS);
        long acceptedGeneration = generation;
        if (delay == 0) {
            respond(call, accept(order));
        } else {
            StandInServer.runAfter(delay, () -> {
                if (acceptedGeneration == generation) {
                    respond(call, accept(order));
                }
            });
        }
    }

    void get(Call call) {
        String id = call.path().substring(PATH.length() + 1);
        call.respondWithJson(200, states.getOrDefault(id, new OrderState(id, OrderState.Status.UNKNOWN, null)));
    }

    /** Discards all orders, including those still to be applied, as a restart of the engine does. */
    void restart() {
        generation++;
        states.clear();
        highestTerm.set(0);
    }

    long highestTerm() {
        return highestTerm.get();
    }

    long fenced() {
        return fenced.get();
    }

    List<String> unresolved() {
        return states.values().stream()
                .filter(state -> state.status() == OrderState.Status.PENDING)
                .map(OrderState::orderId)
                .toList();
    }

    Map<String, Integer> applied() {
        return Map.copyOf(applied);
    }

    private void respond(Call call, OrderState state) {
        if (faults.consume(InjectedFault.LOSE_ORDER_ANSWERS)) {
            call.closeConnection();
            return;
        }
        int status =
                switch (state.status()) {
                    case FENCED -> 409;
                    case PENDING -> 202;
                    default -> 200;
                };
        call.respondWithJson(status, state);
    }

    private synchronized OrderState accept(OrderDocument order) {
        OrderState existing = states.get(order.orderId());
        if (existing != null) {
            return existing;
        }
        if (fencingEnforced && order.term() < highestTerm.get()) {
            fenced.incrementAndGet();
            return setState(order, OrderState.Status.FENCED, "term " + highestTerm.get() + " was seen");
        }
        highestTerm.accumulateAndGet(order.term(), Math::max);
        apply(order);
        if (faults.consume(InjectedFault.APPLY_ORDERS_TWICE)) {
            long acceptedGeneration = generation;
            StandInServer.runAfter(
                    faults.value(InjectedFault.APPLY_AGAIN_MILLIS), () -> applyAgain(order, acceptedGeneration));
        }
        return states.get(order.orderId());
    }

    private synchronized void applyAgain(OrderDocument order, long acceptedGeneration) {
        if (acceptedGeneration == generation) {
            apply(order);
        }
    }

    private void apply(OrderDocument order) {
        applied.merge(order.orderId(), 1, Integer::sum);
        switch (order.action()) {
            case LOAD -> load(order);
            case UNLOAD -> unload(order);
            case SET_ROLE -> setRole(order);
            default -> setState(order, OrderState.Status.FAILED, "unknown action");
        }
    }

    private void load(OrderDocument order) {
        Artifact artifact = order.artifact();
        boolean adapter = artifact.adapter() != null;
        long startedGeneration = generation;
        if (memory.isLoaded(artifact)) {
            setState(order, OrderState.Status.DONE, null);
            return;
        }
        if (adapter && memory.find(artifact.model(), null, null) == null) {
            setState(order, OrderState.Status.FAILED, BASE_MODEL_NOT_LOADED);
            return;
        }
        if (memory.isLoading(artifact)) {
            setState(order, OrderState.Status.PENDING, null);
            weights.load(adapter, () -> finishLoad(order, startedGeneration, () -> {}));
            return;
        }
        if (!memory.reserve(artifact, order.bytes())) {
            setState(order, OrderState.Status.FAILED, OUT_OF_MEMORY);
            return;
        }
        setState(order, OrderState.Status.PENDING, null);
        weights.load(
                adapter, () -> finishLoad(order, startedGeneration, () -> memory.finishLoad(artifact, order.bytes())));
    }

    private synchronized void finishLoad(OrderDocument order, long startedGeneration, Runnable effect) {
        if (startedGeneration == generation) {
            effect.run();
            setState(order, OrderState.Status.DONE, null);
        }
    }

    private void unload(OrderDocument order) {
        memory.unload(order.artifact());
        onUnload.accept(order.artifact());
        setState(order, OrderState.Status.DONE, null);
    }

    private void setRole(OrderDocument order) {
        onRoleChange.accept(order.role());
        setState(order, OrderState.Status.DONE, null);
    }

    private OrderState setState(OrderDocument order, OrderState.Status status, String detail) {
        OrderState state = new OrderState(order.orderId(), status, detail);
        states.put(order.orderId(), state);
        return state;
    }
}
