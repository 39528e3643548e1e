package org.gooseberryring.host.entry;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.crash.BrokenAttempt;
import org.gooseberryring.coordination.path.RelayFailure;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.host.engine.AttemptGate;
import org.gooseberryring.host.engine.AttemptPath;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.Verdict;
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

    /** Status with which another host states that it does not reach the endpoint. */
    private static final int UNREACHABLE = ErrorCode.ENDPOINT_UNREACHABLE.httpStatus();

    private final PathListener pathListener;
    private final BiConsumer<String, RequestTarget> onMissingArtifact;
    private final BiConsumer<String, BrokenAttempt> onBrokenConnection;
    private final DeploymentView view;
    private final EndpointSignalHandler signalHandler;
    private final LongSupplier clock;

    /** Listener for what attempts show about the paths to endpoints; called on I/O threads. */
    interface PathListener {
        /** Called when this host could not open a connection to an endpoint. */
        void onConnectFailed(String endpoint);

        /** Called when another host has not passed a request on to an endpoint. */
        void onRelayFailed(String host, String endpoint, RelayFailure failure);
    }

    /**
     * Creates a gate.
     *
     * @param pathListener notified of failed paths
     * @param onMissingArtifact called with an endpoint and the target that it has not loaded
     * @param onBrokenConnection called with an endpoint and the attempt whose connection to it broke
     * @param view processes of endpoints, and which of them may get new work
     * @param signalHandler handles the signals of endpoints
     * @param clock monotonic milliseconds
     */
    EntryGate(
            PathListener pathListener,
            BiConsumer<String, RequestTarget> onMissingArtifact,
            BiConsumer<String, BrokenAttempt> onBrokenConnection,
            DeploymentView view,
            EndpointSignalHandler signalHandler,
            LongSupplier clock) {
        this.pathListener = pathListener;
        this.view = view;
        this.signalHandler = signalHandler;
        this.clock = clock;
        this.onMissingArtifact = onMissingArtifact;
        this.onBrokenConnection = onBrokenConnection;
    }

    @Override
    public BooleanSupplier mayStart(RequestSpec spec, String endpoint) {
        EndpointProcess process = view.process(endpoint);
        return () -> mayStart(spec, process, clock.getAsLong());
    }

    @Override
    public Consumer<EndpointSignals> signals(String endpoint) {
        EndpointProcess process = view.process(endpoint);
        RateLimit knownWhenSent = signalHandler.limit(process);
        return signals -> signalHandler.handle(process, signals, knownWhenSent);
    }

    private boolean mayStart(RequestSpec spec, EndpointProcess process, long now) {
        return now < spec.deadline() && view.isInService(process) && !signalHandler.isBackingOff(process, now);
    }

    @Override
    public AttemptOutcome attemptEnded(RequestSpec spec, AttemptPath path, AttemptOutcome outcome) {
        if (path.rejected()) {
            return rejectedByRelay(path, outcome);
        }
        if (outcome.status() == MISDIRECTED) {
            onMissingArtifact.accept(path.endpoint(), spec.target());
        }
        if (!outcome.endpointLost()) {
            return outcome;
        }
        if (outcome.sent()) {
            onBrokenConnection.accept(path.endpoint(), BrokenAttempt.of(spec, outcome));
            return outcome.atLiveEndpoint();
        }
        if (path.isRelayed()) {
            pathListener.onRelayFailed(path.via(), path.endpoint(), RelayFailure.HOST_UNAVAILABLE);
            return outcome.atLiveEndpoint();
        }
        pathListener.onConnectFailed(path.endpoint());
        return outcome;
    }

    /** Handles the rejection of a request by the host that was to pass it on; a request that has not run was not sent. */
    private AttemptOutcome rejectedByRelay(AttemptPath path, AttemptOutcome outcome) {
        if (outcome.verdict() != Verdict.NOT_RUN) {
            return outcome;
        }
        boolean unreachable = outcome.status() == UNREACHABLE;
        pathListener.onRelayFailed(
                path.via(),
                path.endpoint(),
                unreachable ? RelayFailure.ENDPOINT_UNREACHABLE : RelayFailure.HOST_UNAVAILABLE);
        return outcome.unsent(unreachable);
    }
}
