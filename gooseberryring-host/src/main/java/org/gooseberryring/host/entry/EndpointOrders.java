package org.gooseberryring.host.entry;

import java.util.concurrent.CompletableFuture;

import org.gooseberryring.coordination.residency.ArtifactOrder;
import org.gooseberryring.coordination.residency.EndpointStatus;
import org.gooseberryring.coordination.residency.OrderResult;
import org.gooseberryring.state.EndpointRegistration;

/** Client for orders to endpoints, status queries and health checks; the futures complete on an I/O thread. */
public interface EndpointOrders {
    /** Sends an order; the result is {@link OrderResult#UNKNOWN} if the endpoint does not respond. */
    CompletableFuture<OrderResult> send(EndpointRegistration endpoint, ArtifactOrder order);

    /** Queries the status; the future fails if the endpoint does not respond. */
    CompletableFuture<EndpointStatus> status(EndpointRegistration endpoint);

    /** Checks whether this process of an endpoint is alive; the future fails if its address does not respond. */
    CompletableFuture<Boolean> isAlive(EndpointRegistration endpoint, String healthPath);
}
