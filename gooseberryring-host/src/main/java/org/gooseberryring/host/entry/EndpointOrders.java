package org.gooseberryring.host.entry;

import java.util.concurrent.CompletableFuture;

import org.gooseberryring.coordination.residency.ArtifactOrder;
import org.gooseberryring.coordination.residency.EndpointStatus;
import org.gooseberryring.coordination.residency.OrderResult;
import org.gooseberryring.state.EndpointRegistration;

/** Orders to endpoints and questions for their status; the futures end on an I/O thread. */
public interface EndpointOrders {
    /** Sends an order; a missing answer is {@link OrderResult#UNKNOWN}. */
    CompletableFuture<OrderResult> send(EndpointRegistration endpoint, ArtifactOrder order);

    /** Asks for the status; the future fails if there is no answer. */
    CompletableFuture<EndpointStatus> status(EndpointRegistration endpoint);

    /** Returns whether this start of an endpoint lives; the future fails if nothing answers at its address. */
    CompletableFuture<Boolean> isAlive(EndpointRegistration endpoint, String healthPath);
}
