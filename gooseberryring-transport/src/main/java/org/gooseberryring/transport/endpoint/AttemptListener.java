package org.gooseberryring.transport.endpoint;

import org.gooseberryring.coordination.request.AttemptOutcome;

/** Listener for the progress of an attempt; its methods run on the I/O thread of the attempt. */
public interface AttemptListener {
    /** Called before the end of the attempt if the head of the response contains signals of the endpoint. */
    default void onSignalsReceived(EndpointSignals signals) {}

    /** Called before the end of the attempt if the host that was to pass the request on has rejected it itself. */
    default void onRejectedByRelay() {}

    /** Called when the first bytes of an acceptable response have arrived. */
    void onResponseStarted();

    /**
     * Called exactly once, when the attempt has ended.
     *
     * @param outcome how it ended
     * @param recorded complete response body if it is small enough to record, otherwise null
     */
    void onAttemptEnded(AttemptOutcome outcome, byte[] recorded);
}
