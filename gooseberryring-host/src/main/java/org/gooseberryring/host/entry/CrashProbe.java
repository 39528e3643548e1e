package org.gooseberryring.host.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.jboss.logging.Logger;

/** Asks an endpoint whose connection broke whether it still lives. */
final class CrashProbe {
    private static final Logger LOG = Logger.getLogger(CrashProbe.class);

    private final DeploymentView view;
    private final Health health;
    private final BiConsumer<String, String> crashed;
    private final Predicate<EndpointProcess> wantsNothing;

    /** Checks whether a start of an endpoint lives; the future fails if nothing answers at its address. */
    @FunctionalInterface
    interface Health {
        CompletableFuture<Boolean> isAlive(EndpointRegistration endpoint, String healthPath);
    }

    /**
     * Creates a probe.
     *
     * @param crashed takes an endpoint that is gone and the digest of the request that it ran
     * @param wantsNothing returns whether an endpoint has asked for no request now
     */
    CrashProbe(
            DeploymentView view,
            Health health,
            BiConsumer<String, String> crashed,
            Predicate<EndpointProcess> wantsNothing) {
        this.wantsNothing = wantsNothing;
        this.view = view;
        this.health = health;
        this.crashed = crashed;
    }

    /** Asks the endpoint; may be called on any thread. */
    void ask(String endpoint, String digest) {
        EndpointRegistration registration = view.registration(endpoint);
        if (registration == null) {
            crashed.accept(endpoint, digest);
            return;
        }
        if (wantsNothing.test(registration.process())) {
            // It has answered a moment ago, and wants no request now.
            return;
        }
        health.isAlive(registration, view.healthPath(registration.service())).whenComplete((lives, failure) -> {
            boolean gone = failure != null || !lives;
            LogLine.event("endpoint-probed")
                    .with("endpoint", endpoint)
                    .with("crashed", gone)
                    .with("reason", failure == null ? null : failure.getMessage())
                    .info(LOG);
            if (gone) {
                crashed.accept(endpoint, digest);
            }
        });
    }
}
