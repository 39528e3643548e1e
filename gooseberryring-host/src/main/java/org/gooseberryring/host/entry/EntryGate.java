package org.gooseberryring.host.entry;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.crash.BrokenAttempt;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.host.engine.AttemptGate;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.transport.endpoint.EndpointSignals;

/**
 * Decides whether attempts may start, and detects from their outcomes which endpoints have not loaded the requested
 * artifact and which may have crashed.
 *
 * <p>A broken connection does not prove that its endpoint crashed, so the endpoint is probed before it counts as lost.
 */
final class EntryGate implements AttemptGate {
    /** Status with which a process responds if it is not the expected endpoint or has not loaded the requested artifact. */
    private static final int MISDIRECTED = 421;

    private final BiConsumer<String, RequestTarget> onMissingArtifact;
    private final BiConsumer<String, BrokenAttempt> onBrokenConnection;
    private final Function<String, EndpointProcess> processes;
    private final EndpointSignalHandler signalHandler;
    private final LongSupplier clock;

    /**
     * Creates a gate.
     *
     * @param onMissingArtifact called with an endpoint and the target that it has not loaded
     * @param onBrokenConnection called with an endpoint and the attempt whose connection to it broke
     * @param processes looks up the process of an endpoint
     * @param signalHandler handles the signals of endpoints
     * @param clock monotonic milliseconds
     */
    EntryGate(
            BiConsumer<String, RequestTarget> onMissingArtifact,
            BiConsumer<String, BrokenAttempt> onBrokenConnection,
            Function<String, EndpointProcess> processes,
            EndpointSignalHandler signalHandler,
            LongSupplier clock) {
        this.processes = processes;
        this.signalHandler = signalHandler;
        this.clock = clock;
        this.onMissingArtifact = onMissingArtifact;
        this.onBrokenConnection = onBrokenConnection;
    }

    @Override
    public BooleanSupplier mayStart(RequestSpec spec, String endpoint) {
        EndpointProcess process = processes.apply(endpoint);
        return () -> mayStart(spec, process, clock.getAsLong());
    }

    @Override
    public Consumer<EndpointSignals> signals(String endpoint) {
        EndpointProcess process = processes.apply(endpoint);
        RateLimit knownWhenSent = signalHandler.limit(process);
        return signals -> signalHandler.handle(process, signals, knownWhenSent);
    }

    private boolean mayStart(RequestSpec spec, EndpointProcess process, long now) {
        return now < spec.deadline() && !signalHandler.isBackingOff(process, now);
    }

    @Override
    public AttemptOutcome attemptEnded(RequestSpec spec, String endpoint, AttemptOutcome outcome) {
        if (outcome.status() == MISDIRECTED) {
            onMissingArtifact.accept(endpoint, spec.target());
        }
        if (outcome.endpointLost() && outcome.sent()) {
            onBrokenConnection.accept(endpoint, BrokenAttempt.of(spec, outcome));
            return outcome.atLiveEndpoint();
        }
        return outcome;
    }
}
