package org.gooseberryring.coordination.residency;

import java.util.List;

import org.gooseberryring.state.ResidentModel;

/** Action that the host must carry out for its residency controller. */
public sealed interface ResidencyEffect {
    /**
     * Sends an order; the host passes the result to {@link ResidencyController#onOrderResult}.
     *
     * @param order order to send
     */
    record Send(ArtifactOrder order) implements ResidencyEffect {}

    /**
     * Requests the status of an endpoint.
     *
     * @param endpoint endpoint to query
     */
    record RequestStatus(String endpoint) implements ResidencyEffect {}

    /**
     * Reports to all hosts which artifacts an endpoint serves.
     *
     * @param endpoint endpoint identifier
     * @param orderSequence number of orders that the endpoint has accepted
     * @param models loaded models and adapters that requests may use
     * @param loading model that is loading or planned, null if there is none
     */
    record Announce(String endpoint, long orderSequence, List<ResidentModel> models, String loading)
            implements ResidencyEffect {}
}
