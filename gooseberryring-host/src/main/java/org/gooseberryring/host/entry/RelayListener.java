package org.gooseberryring.host.entry;

import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.gooseberryring.coordination.path.OwnReach;
import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.caller.EndpointRelayHandler;
import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.host.caller.RefusedException;
import org.gooseberryring.host.caller.RelayAuthenticator;
import org.gooseberryring.host.caller.SocketWait;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.state.EndpointRegistration;
import org.gooseberryring.state.RequestLimits;
import org.gooseberryring.transport.endpoint.EndpointClient;
import org.gooseberryring.transport.endpoint.EndpointLimits;
import org.gooseberryring.transport.endpoint.EndpointSignals;
import org.gooseberryring.transport.endpoint.PassThroughProtocol;
import org.gooseberryring.transport.http.HttpWorker;

/** Takes requests of hosts that do not reach an endpoint, and passes them on to it. */
final class RelayListener implements AutoCloseable {
    /** Size of a request's head; the head of a caller's request grows by the headers of the system. */
    private static final int MAX_HEADER_BYTES = 65_536;

    private static final int HEADER_MILLIS = 1_000;
    private static final int IDLE_MILLIS = 5_000;

    private final DeploymentView view;
    private final EndpointSignalHandler signalHandler;
    private final Supplier<OwnReach> reach;
    private final LongSupplier clock;
    private final FrontListener listener;

    /**
     * Opens the relay address of the settings.
     *
     * @param endpointLimits limits of connections to endpoints
     * @param secret returns the secret that all hosts share, null while it is not known
     * @param reach returns the endpoints that this host does not reach itself
     * @param socketWait how long a request may have waited before it is read
     * @param clock monotonic milliseconds
     * @param wallClock milliseconds since the Unix epoch
     */
    RelayListener(
            EntrySettings settings,
            Deployment deployment,
            DeploymentView view,
            EndpointSignalHandler signalHandler,
            HttpWorker worker,
            EndpointLimits endpointLimits,
            OpenRequests open,
            Supplier<byte[]> secret,
            Supplier<OwnReach> reach,
            HostMetrics metrics,
            SocketWait socketWait,
            LongSupplier clock,
            LongSupplier wallClock) {
        this.view = view;
        this.signalHandler = signalHandler;
        this.clock = clock;
        this.reach = reach;
        PassThroughProtocol protocol = new PassThroughProtocol(deployment.endpointProtocol());
        IntSupplier maxBodyBytes = () -> view.configuration().limits().bodyBytes();
        EndpointRelayHandler handler = new EndpointRelayHandler(
                new RelayAuthenticator(secret, wallClock),
                worker.budget().requests(),
                open,
                new EndpointClient(worker, endpointLimits, protocol),
                protocol,
                targets(),
                deployment.callerProtocol().responseFormat().headers(),
                maxBodyBytes,
                metrics,
                socketWait,
                clock,
                open.maxOpen() / 2);
        RequestLimits limits = new RequestLimits(MAX_HEADER_BYTES, maxBodyBytes.getAsInt(), HEADER_MILLIS, IDLE_MILLIS);
        listener = new FrontListener(worker, settings.relayAddress(), settings.maxConnections() / 2, limits, handler);
    }

    @Override
    public void close() {
        listener.close();
    }

    private EndpointRelayHandler.Targets targets() {
        return new EndpointRelayHandler.Targets() {
            @Override
            public String address(String endpoint) {
                return RelayListener.this.address(endpoint, clock.getAsLong());
            }

            @Override
            public Consumer<EndpointSignals> signals(String endpoint) {
                EndpointProcess process = view.process(endpoint);
                RateLimit knownWhenSent = signalHandler.limit(process);
                return signals -> signalHandler.handle(process, signals, knownWhenSent);
            }
        };
    }

    /** Returns the address of an endpoint unless this host must not send requests to it, or does not reach it. */
    private String address(String endpoint, long now) {
        EndpointRegistration registration = view.registration(endpoint);
        OwnReach own = reach.get();
        boolean refused = registration == null
                || registration.leaving()
                || view.isOut(registration.failureDomain())
                || signalHandler.isBackingOff(registration.process(), now)
                || own.isolated()
                || own.unreachable().contains(endpoint);
        if (refused) {
            throw new RefusedException(EndpointRelayHandler.unreachable());
        }
        return registration.address();
    }
}
