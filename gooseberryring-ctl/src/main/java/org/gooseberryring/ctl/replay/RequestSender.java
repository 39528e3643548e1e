package org.gooseberryring.ctl.replay;

import java.util.function.Consumer;

/** Sends requests of a trace without waiting for their answers. */
interface RequestSender {
    /**
     * Sends a request.
     *
     * @param number number of the request in the trace
     * @param sentMillis time since the start of the replay
     * @param done takes the outcome, on any thread
     */
    void send(int number, TraceLine line, String key, long sentMillis, Consumer<Outcome> done);
}
