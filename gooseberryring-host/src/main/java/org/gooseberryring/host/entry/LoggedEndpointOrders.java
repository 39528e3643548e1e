package org.gooseberryring.host.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import org.gooseberryring.coordination.residency.ArtifactOrder;
import org.gooseberryring.coordination.residency.EndpointStatus;
import org.gooseberryring.coordination.residency.OrderResult;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.jboss.logging.Logger;

/** Logs each call to a limited endpoint that is not a request of a caller, since endpoints count these calls too. */
final class LoggedEndpointOrders implements EndpointOrders {
    private static final Logger LOG = Logger.getLogger(LoggedEndpointOrders.class);

    private final EndpointOrders orders;
    private final Predicate<EndpointProcess> isLimited;

    /** Creates a client that makes its calls through another one. */
    LoggedEndpointOrders(EndpointOrders orders, Predicate<EndpointProcess> isLimited) {
        this.orders = orders;
        this.isLimited = isLimited;
    }

    @Override
    public CompletableFuture<OrderResult> send(EndpointRegistration endpoint, ArtifactOrder order) {
        log(endpoint, "order");
        return orders.send(endpoint, order);
    }

    @Override
    public CompletableFuture<EndpointStatus> status(EndpointRegistration endpoint) {
        log(endpoint, "status");
        return orders.status(endpoint);
    }

    @Override
    public CompletableFuture<Boolean> isAlive(EndpointRegistration endpoint, String healthPath) {
        log(endpoint, "health");
        return orders.isAlive(endpoint, healthPath);
    }

    private void log(EndpointRegistration endpoint, String purpose) {
        if (!isLimited.test(endpoint.process())) {
            return;
        }
        LogLine.event("endpoint-called")
                .with("endpoint", endpoint.id())
                .with("purpose", purpose)
                .debug(LOG);
    }
}
