package org.gooseberryring.host.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.gooseberryring.coordination.crash.BrokenAttempt;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.jboss.logging.Logger;

/** Checks the health of an endpoint whose connection broke, to detect whether its process has crashed. */
final class CrashProbe {
    private static final Logger LOG = Logger.getLogger(CrashProbe.class);

    private final DeploymentView view;
    private final Health health;
    private final BiConsumer<EndpointProcess, BrokenAttempt> onCrash;
    private final Predicate<EndpointProcess> isBackingOff;

    /** Checks whether a process of an endpoint is alive; the future fails if its address does not respond. */
    @FunctionalInterface
    interface Health {
        CompletableFuture<Boolean> isAlive(EndpointRegistration endpoint, String healthPath);
    }

    /**
     * Creates a probe.
     *
     * @param onCrash called with a crashed process of an endpoint and the attempt that it was running
     * @param isBackingOff tests whether an endpoint has asked this host to send no requests at present
     */
    CrashProbe(
            DeploymentView view,
            Health health,
            BiConsumer<EndpointProcess, BrokenAttempt> onCrash,
            Predicate<EndpointProcess> isBackingOff) {
        this.isBackingOff = isBackingOff;
        this.view = view;
        this.health = health;
        this.onCrash = onCrash;
    }

    /** Probes the endpoint; may be called on any thread. */
    void probe(String endpoint, BrokenAttempt attempt) {
        EndpointRegistration registration = view.registration(endpoint);
        if (registration == null) {
            // An endpoint that has left the registry may have ended as planned.
            onCrash.accept(new EndpointProcess(endpoint, 0), attempt.withoutEvidence());
            return;
        }
        if (isBackingOff.test(registration.process())) {
            // The endpoint responded a moment ago, so it is alive, and it has asked for no requests at present.
            return;
        }
        health.isAlive(registration, view.healthPath(registration.service())).whenComplete((alive, failure) -> {
            boolean crashed = failure != null || !alive;
            LogLine.event("endpoint-probed")
                    .with("endpoint", endpoint)
                    .with("crashed", crashed)
                    .with("requestId", attempt.requestId())
                    .with("parts", PartNames.of(attempt.parts()))
                    .with("runMs", attempt.runMillis())
                    .with("responseMs", attempt.responseMillis())
                    .with("reason", failure == null ? null : failure.getMessage())
                    .info(LOG);
            if (crashed) {
                boolean mayHaveLeft = view.registration(endpoint) == null || registration.leaving();
                onCrash.accept(registration.process(), mayHaveLeft ? attempt.withoutEvidence() : attempt);
            }
        });
    }
}
