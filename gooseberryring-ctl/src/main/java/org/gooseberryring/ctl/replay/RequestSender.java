package org.gooseberryring.ctl.replay;

import java.util.function.Consumer;

/** Sends requests of a trace without waiting for the responses. */
interface RequestSender {
    /**
     * Sends a request.
     *
     * @param number index of the request in the trace
     * @param sentMillis time since the start of the replay, in milliseconds
     * @param done called with the outcome, on any thread
     */
    void send(int number, TraceLine line, String key, long sentMillis, Consumer<Outcome> done);
}
