package org.gooseberryring.host.entry;

import java.util.concurrent.CompletableFuture;

import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.state.EndpointRegistration;

/** Checks whether endpoints are alive, over this host's own path and if that fails through other hosts. */
final class EndpointChecks {
    private final DeploymentView view;
    private final EndpointOrders orders;
    private final PermittedCalls calls;
    private final ControlLoop control;
    private final PeerExchange exchange;
    private final PeerHealth peers;

    /** Creates the checks; {@code mesh} sends messages to the other hosts. */
    EndpointChecks(
            DeploymentView view,
            EndpointOrders orders,
            PermittedCalls calls,
            ControlLoop control,
            PeerExchange exchange,
            PeerMesh mesh) {
        this.view = view;
        this.orders = orders;
        this.calls = calls;
        this.control = control;
        this.exchange = exchange;
        this.peers = new PeerHealth(exchange::hostsWithPaths, mesh::send, this::localCheck);
    }

    /** Returns the checks that other hosts take part in. */
    PeerHealth peers() {
        return peers;
    }

    /** Checks whether a process of an endpoint is alive; may be called on any thread. */
    CompletableFuture<Boolean> isAlive(EndpointRegistration endpoint, String healthPath) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        checkDirectly(endpoint, healthPath).whenComplete((alive, failure) -> {
            if (failure == null) {
                result.complete(alive);
            } else {
                control.put(now -> peers.isAlive(endpoint.id(), exchange.reach().isolated(), now)
                        .thenAccept(result::complete));
            }
        });
        return result;
    }

    /** Checks the health of an endpoint when its rate limit allows; one that is not checked in time counts as alive. */
    private CompletableFuture<Boolean> checkDirectly(EndpointRegistration endpoint, String healthPath) {
        CompletableFuture<Boolean> alive = new CompletableFuture<>();
        control.put(now -> calls.run(
                endpoint.process(),
                at -> orders.isAlive(endpoint, healthPath).whenComplete((result, failure) -> {
                    if (failure == null) {
                        alive.complete(result);
                    } else {
                        alive.completeExceptionally(failure);
                    }
                }),
                at -> alive.complete(true),
                now));
        return alive;
    }

    /** Checks an endpoint for another host; fails if the endpoint is not registered. */
    private CompletableFuture<Boolean> localCheck(String endpoint) {
        EndpointRegistration registration = view.registration(endpoint);
        if (registration == null) {
            return CompletableFuture.failedFuture(new IllegalStateException(endpoint + " is not registered"));
        }
        return checkDirectly(registration, view.healthPath(registration.service()))
                .exceptionally(failure -> false);
    }
}
