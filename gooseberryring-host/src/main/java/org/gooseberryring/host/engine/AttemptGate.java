package org.gooseberryring.host.engine;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.transport.endpoint.EndpointSignals;

/** Checks whether attempts at endpoints may start and is notified of their end. */
public interface AttemptGate {
    /**
     * Returns a check that the I/O thread makes just before it writes a request to an endpoint; must be called on the
     * request thread when the request is dispatched.
     */
    BooleanSupplier mayStart(RequestSpec spec, String endpoint);

    /**
     * Returns a consumer of the signals in the endpoint's response, which is called on an I/O thread; must be called on
     * the request thread when the request is dispatched.
     */
    default Consumer<EndpointSignals> signals(String endpoint) {
        return signals -> {};
    }

    /** Handles the end of an attempt on an I/O thread and returns the outcome to report to the engine. */
    AttemptOutcome attemptEnded(RequestSpec spec, AttemptPath path, AttemptOutcome outcome);
}
