package org.gooseberryring.coordination.order;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.state.Artifact;

/** Simulated model engine that tracks its own memory use. */
final class SimulatedEngine {
    private final String id;
    private final long memory;
    private final Fencing fencing;
    private final Map<Artifact, Long> loaded = new HashMap<>();
    private final Map<Artifact, Order> loading = new HashMap<>();
    private final Set<OrderId> acceptedOrders = new HashSet<>();
    private OrderId highest = new OrderId(0, 0);
    private long incarnation = 1;

    SimulatedEngine(String id, long memory, Fencing fencing) {
        this.id = id;
        this.memory = memory;
        this.fencing = fencing;
    }

    /** Fencing check of an engine before it accepts an order. */
    enum Fencing {
        /** Nothing. */
        IGNORED,
        /** The term: rejects an order with a lower one. */
        TERM,
        /** Term and sequence: rejects an order with a lower pair. */
        TERM_AND_SEQUENCE
    }

    String id() {
        return id;
    }

    long memory() {
        return memory;
    }

    long incarnation() {
        return incarnation;
    }

    boolean isLoaded(Artifact artifact) {
        return loaded.containsKey(artifact);
    }

    Set<Artifact> loaded() {
        return loaded.keySet();
    }

    /** Returns the memory in use, in bytes; a load uses its memory from its start. */
    long used() {
        return loaded.values().stream().mapToLong(Long::longValue).sum()
                + loading.values().stream().mapToLong(Order::bytes).sum();
    }

    boolean accepts(Order order) {
        if (fencing == Fencing.TERM && order.id().term() < highest.term()
                || fencing == Fencing.TERM_AND_SEQUENCE && order.id().compareTo(highest) < 0) {
            return false;
        }
        highest = order.id().compareTo(highest) > 0 ? order.id() : highest;
        // Simulated engines that ignore fencing numbers also execute a repeated order again.
        return acceptedOrders.add(order.id()) || fencing == Fencing.IGNORED;
    }

    /** Starts a load; returns false if the artifact is loaded or being loaded. */
    boolean startLoad(Order order) {
        return !loaded.containsKey(order.artifact()) && loading.putIfAbsent(order.artifact(), order) == null;
    }

    void finishLoad(Order order) {
        if (loading.remove(order.artifact(), order)) {
            loaded.put(order.artifact(), order.bytes());
        }
    }

    boolean unload(Artifact artifact) {
        return loaded.remove(artifact) != null;
    }

    /** Clears all artifacts and orders, as a restart of an engine does. */
    void restart() {
        incarnation++;
        loaded.clear();
        loading.clear();
        acceptedOrders.clear();
        highest = new OrderId(0, 0);
    }

    EndpointReport report(long observedAt) {
        Set<String> pending = new HashSet<>();
        loading.values().forEach(o -> pending.add(o.id().toString()));
        return new EndpointReport(id, incarnation, loaded.keySet(), pending, used(), observedAt);
    }
}
