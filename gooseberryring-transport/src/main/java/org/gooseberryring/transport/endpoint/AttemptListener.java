package org.gooseberryring.transport.endpoint;

import org.gooseberryring.coordination.request.AttemptOutcome;

/** Hears of the progress of an attempt, on its I/O thread. */
public interface AttemptListener {
    /** The endpoint has stated something of itself; precedes the end of the attempt. */
    default void onSignalsReceived(EndpointSignals signals) {}

    /** The first bytes of an acceptable answer have arrived. */
    void onResponseStarted();

    /**
     * The attempt has ended; called exactly once.
     *
     * @param outcome how it ended
     * @param recorded whole answer if it was complete and small enough to keep, otherwise null
     */
    void onAttemptEnded(AttemptOutcome outcome, byte[] recorded);
}
