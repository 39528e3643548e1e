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

/** Accepts orders to an engine stand-in and carries them out with the weight store. */
final class EngineOrders {
    static final String PATH = "/v1/orders";
    private static final String NO_MEMORY = "out of memory";
    private static final String NO_BASE = "the model of the adapter is not loaded";

    private final Faults faults;
    private final EngineMemory memory;
    private final WeightStoreStandIn weights;
    private final boolean fencingEnforced;
    private final Consumer<Artifact> unloaded;
    private final Consumer<String> roleChanged;
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
            Consumer<Artifact> unloaded,
            Consumer<String> roleChanged) {
        this.faults = faults;
        this.memory = memory;
        this.weights = weights;
        this.fencingEnforced = fencingEnforced;
        this.unloaded = unloaded;
        this.roleChanged = roleChanged;
    }

    void post(Call call) {
        OrderDocument order;
        try {
            order = Json.read(call.body(), OrderDocument.class);
        } catch (GooseberryringException e) {
            call.status(400);
            return;
        }
        if (faults.take(InjectedFault.LOSE_ORDERS)) {
            call.drop();
            return;
        }
        // A late order takes effect even if its sender has given up, so the delay is not tied to the connection.
        long delay = faults.value(InjectedFault.DELAY_ORDERS_MILLIS);
        long accepted = generation;
        if (delay == 0) {
            answer(call, accept(order));
        } else {
            StandInServer.after(delay, () -> {
                if (accepted == generation) {
                    answer(call, accept(order));
                }
            });
        }
    }

    void get(Call call) {
        String id = call.path().substring(PATH.length() + 1);
        call.json(200, states.getOrDefault(id, new OrderState(id, OrderState.Status.UNKNOWN, null)));
    }

    /** Forgets all orders, as a restart of the engine does. */
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

    private void answer(Call call, OrderState state) {
        if (faults.take(InjectedFault.LOSE_ORDER_ANSWERS)) {
            call.drop();
            return;
        }
        int status =
                switch (state.status()) {
                    case FENCED -> 409;
                    case PENDING -> 202;
                    default -> 200;
                };
        call.json(status, state);
    }

    private synchronized OrderState accept(OrderDocument order) {
        OrderState known = states.get(order.orderId());
        if (known != null) {
            return known;
        }
        if (fencingEnforced && order.term() < highestTerm.get()) {
            fenced.incrementAndGet();
            return state(order, OrderState.Status.FENCED, "term " + highestTerm.get() + " was seen");
        }
        highestTerm.accumulateAndGet(order.term(), Math::max);
        apply(order);
        if (faults.take(InjectedFault.APPLY_ORDERS_TWICE)) {
            long accepted = generation;
            StandInServer.after(faults.value(InjectedFault.APPLY_AGAIN_MILLIS), () -> applyAgain(order, accepted));
        }
        return states.get(order.orderId());
    }

    private synchronized void applyAgain(OrderDocument order, long accepted) {
        if (accepted == generation) {
            apply(order);
        }
    }

    private void apply(OrderDocument order) {
        applied.merge(order.orderId(), 1, Integer::sum);
        switch (order.action()) {
            case LOAD -> load(order);
            case UNLOAD -> unload(order);
            case SET_ROLE -> setRole(order);
            default -> state(order, OrderState.Status.FAILED, "unknown action");
        }
    }

    private void load(OrderDocument order) {
        Artifact artifact = order.artifact();
        boolean adapter = artifact.adapter() != null;
        long started = generation;
        if (memory.holds(artifact)) {
            state(order, OrderState.Status.DONE, null);
            return;
        }
        if (adapter && memory.find(artifact.model(), null, null) == null) {
            state(order, OrderState.Status.FAILED, NO_BASE);
            return;
        }
        if (memory.loading(artifact)) {
            state(order, OrderState.Status.PENDING, null);
            weights.load(adapter, () -> finish(order, started, () -> {}));
            return;
        }
        if (!memory.reserve(artifact, order.bytes())) {
            state(order, OrderState.Status.FAILED, NO_MEMORY);
            return;
        }
        state(order, OrderState.Status.PENDING, null);
        weights.load(adapter, () -> finish(order, started, () -> memory.finish(artifact, order.bytes())));
    }

    private synchronized void finish(OrderDocument order, long started, Runnable effect) {
        if (started == generation) {
            effect.run();
            state(order, OrderState.Status.DONE, null);
        }
    }

    private void unload(OrderDocument order) {
        memory.unload(order.artifact());
        unloaded.accept(order.artifact());
        state(order, OrderState.Status.DONE, null);
    }

    private void setRole(OrderDocument order) {
        roleChanged.accept(order.role());
        state(order, OrderState.Status.DONE, null);
    }

    private OrderState state(OrderDocument order, OrderState.Status status, String detail) {
        OrderState state = new OrderState(order.orderId(), status, detail);
        states.put(order.orderId(), state);
        return state;
    }
}
