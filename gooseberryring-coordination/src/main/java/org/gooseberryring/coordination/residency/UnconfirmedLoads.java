package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.List;

import org.gooseberryring.state.EngineProfile;

/**
 * Load orders without a result that an endpoint may still execute.
 *
 * <p>Until the endpoint restarts, the sequence number of an order prevents its execution after newer ones. A restarted
 * endpoint with the same identifier counts its orders from 0, so it may accept a delayed load from before the restart.
 */
final class UnconfirmedLoads {
    /** An order without a result is executed within 12 s or never. */
    private static final long MAX_DELAY_MILLIS = 13_000;

    private final List<Load> unanswered = new ArrayList<>();
    private final List<Load> earlierStarts = new ArrayList<>();

    private record Load(String model, String adapter, long until) {}

    /** Records an order without a result if it is a load. */
    void recordUnanswered(ArtifactOrder order, long now) {
        if (order.action() == ArtifactOrder.Action.LOAD) {
            unanswered.add(new Load(order.model(), order.adapter(), now + MAX_DELAY_MILLIS));
        }
    }

    /** Handles a restart of the endpoint: its unconfirmed loads may now be accepted again. */
    void onRestart() {
        earlierStarts.addAll(unanswered);
        unanswered.clear();
    }

    /** Removes loads that can no longer be executed. */
    void onTick(long now) {
        unanswered.removeIf(load -> now >= load.until());
        earlierStarts.removeIf(load -> now >= load.until());
    }

    /** Returns the number of adapter slots that delayed loads of earlier starts may take. */
    int adapterCount() {
        return (int)
                earlierStarts.stream().filter(load -> load.adapter() != null).count();
    }

    /** Returns the memory that delayed loads of earlier starts may take in bytes. */
    long bytes(EngineProfile engine) {
        long sum = 0;
        for (Load load : earlierStarts) {
            long model = EndpointLedger.bytes(engine, load.model(), 0);
            sum += load.adapter() == null ? model : EndpointLedger.bytes(engine, load.model(), 1) - model;
        }
        return sum;
    }
}
