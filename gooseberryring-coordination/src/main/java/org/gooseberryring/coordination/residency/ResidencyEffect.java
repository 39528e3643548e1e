package org.gooseberryring.coordination.residency;

import java.util.List;

import org.gooseberryring.state.ResidentModel;

/** Action that the residency controller asks its host to take. */
public sealed interface ResidencyEffect {
    /**
     * Sends an order; its answer is handed back.
     *
     * @param order order to send
     */
    record Send(ArtifactOrder order) implements ResidencyEffect {}

    /**
     * Asks an endpoint for its status.
     *
     * @param endpoint endpoint to ask
     */
    record RequestStatus(String endpoint) implements ResidencyEffect {}

    /**
     * Tells all hosts what an endpoint holds.
     *
     * @param endpoint endpoint
     * @param orderSequence orders that it had accepted
     * @param models models and adapters that requests may be sent for
     * @param loading model that it loads, null if it loads none
     */
    record Announce(String endpoint, long orderSequence, List<ResidentModel> models, String loading)
            implements ResidencyEffect {}
}
