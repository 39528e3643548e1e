package org.gooseberryring.host.entry;

import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.host.engine.AttemptGate;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.transport.endpoint.EndpointSignals;

/**
 * Hears from attempts which endpoints do not hold what requests need and which may have crashed.
 *
 * <p>A connection that breaks does not show that its endpoint crashed, so the endpoint is asked before it counts as lost.
 */
final class EntryGate implements AttemptGate {
    /** Answer of an endpoint that is another one than expected or does not hold what the request needs. */
    private static final int MISDIRECTED = 421;

    private final BiConsumer<String, RequestTarget> lacks;
    private final BiConsumer<String, String> broken;
    private final Function<String, EndpointProcess> processes;
    private final EndpointSignalHandler news;
    private final LongSupplier clock;

    /**
     * Creates a gate.
     *
     * @param lacks takes an endpoint and what it does not hold
     * @param broken takes an endpoint and the digest of the request whose connection to it broke
     * @param processes gives the process of an endpoint
     * @param news hears what endpoints state of themselves
     * @param clock monotonic milliseconds
     */
    EntryGate(
            BiConsumer<String, RequestTarget> lacks,
            BiConsumer<String, String> broken,
            Function<String, EndpointProcess> processes,
            EndpointSignalHandler news,
            LongSupplier clock) {
        this.processes = processes;
        this.news = news;
        this.clock = clock;
        this.lacks = lacks;
        this.broken = broken;
    }

    @Override
    public BooleanSupplier mayStart(RequestSpec spec, String endpoint) {
        EndpointProcess process = processes.apply(endpoint);
        return () -> mayStart(spec, process, clock.getAsLong());
    }

    @Override
    public Consumer<EndpointSignals> signals(String endpoint) {
        EndpointProcess process = processes.apply(endpoint);
        return signals -> news.heard(process, signals);
    }

    private boolean mayStart(RequestSpec spec, EndpointProcess process, long now) {
        return now < spec.deadline() && !news.backsOff(process, now);
    }

    @Override
    public AttemptOutcome attemptEnded(RequestSpec spec, String endpoint, AttemptOutcome outcome) {
        if (outcome.status() == MISDIRECTED) {
            lacks.accept(endpoint, spec.target());
        }
        if (outcome.endpointLost() && outcome.sent()) {
            broken.accept(endpoint, spec.digest());
            return outcome.atLiveEndpoint();
        }
        return outcome;
    }
}
