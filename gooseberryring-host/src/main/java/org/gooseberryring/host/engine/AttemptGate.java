package org.gooseberryring.host.engine;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.transport.endpoint.EndpointSignals;

/** Guards the start of attempts at endpoints and hears of their end. */
public interface AttemptGate {
    /**
     * Returns a check that the I/O thread makes right before it writes a request to an endpoint; call on the request
     * thread when the request is dispatched.
     */
    BooleanSupplier mayStart(RequestSpec spec, String endpoint);

    /**
     * Returns what hears of the signals that an endpoint gives in its answer, on an I/O thread; call on the request thread
     * when the request is dispatched.
     */
    default Consumer<EndpointSignals> signals(String endpoint) {
        return signals -> {};
    }

    /** Hears of an attempt that ended, on an I/O thread, and returns the outcome that the engine is told. */
    AttemptOutcome attemptEnded(RequestSpec spec, String endpoint, AttemptOutcome outcome);
}
