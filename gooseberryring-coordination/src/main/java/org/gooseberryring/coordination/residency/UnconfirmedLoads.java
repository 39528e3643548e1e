package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.state.EngineProfile;

/**
 * Loads that an endpoint has not answered and may still carry out.
 *
 * <p>Within one start of the endpoint the number that an order bears keeps it from being carried out after newer ones. A
 * start under the same identifier counts its orders anew, so that a late load of the start before may fit again.
 */
final class UnconfirmedLoads {
    /** An order without an answer is carried out within 12 s or never. */
    private static final long MAX_DELAY_MILLIS = 13_000;

    private final List<Load> unanswered = new ArrayList<>();
    private final List<Load> earlierStarts = new ArrayList<>();

    private record Load(String model, String adapter, long until) {}

    /** Notes an order that has had no answer. */
    void record(ArtifactOrder order, long now) {
        if (order.action() == ArtifactOrder.Action.LOAD) {
            unanswered.add(new Load(order.model(), order.adapter(), now + MAX_DELAY_MILLIS));
        }
    }

    /** Notes that the endpoint has started anew. */
    void onRestart() {
        earlierStarts.addAll(unanswered);
        unanswered.clear();
    }

    /** Forgets what can no longer be carried out. */
    void onTick(long now) {
        unanswered.removeIf(load -> now >= load.until());
        earlierStarts.removeIf(load -> now >= load.until());
    }

    /** Returns the places for adapters that late loads of earlier starts may take. */
    int adapterCount() {
        return (int)
                earlierStarts.stream().filter(load -> load.adapter() != null).count();
    }

    /** Returns the memory that late loads of earlier starts may take, in bytes. */
    long bytes(EngineProfile engine) {
        long sum = 0;
        for (Load load : earlierStarts) {
            long model = EndpointLedger.bytes(engine, load.model(), 0);
            sum += load.adapter() == null ? model : EndpointLedger.bytes(engine, load.model(), 1) - model;
        }
        return sum;
    }
}
