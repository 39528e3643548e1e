package org.gooseberryring.ctl.replay;

/**
 * Outcome of a request of a trace.
 *
 * @param line line of the trace that describes the request
 * @param sentMillis time at which it was sent, in milliseconds since the start of the replay
 * @param status HTTP status, 0 if there was no response
 * @param code code of the refusal, or null
 * @param complete whether the complete response was received
 * @param firstTokenMicros microseconds to the first byte of the response, -1 if there was none
 * @param totalMicros microseconds to the end of the response
 */
record Outcome(
        TraceLine line,
        long sentMillis,
        int status,
        String code,
        boolean complete,
        long firstTokenMicros,
        long totalMicros) {
    private static final int OK = 200;
    private static final int FIRST_ERROR = 400;
    private static final double MICROS_PER_MILLI = 1_000.0;

    boolean isServed() {
        return complete && status == OK;
    }

    boolean isRefused() {
        return status >= FIRST_ERROR;
    }

    /** Returns whether the first token and the mean time between tokens were within the objective. */
    boolean meets(Objective objective) {
        if (!isServed() || firstTokenMicros > objective.firstTokenMillis() * MICROS_PER_MILLI) {
            return false;
        }
        int gaps = Math.max(1, line.outputTokens() - 1);
        return totalMicros - firstTokenMicros <= objective.tokenMillis() * MICROS_PER_MILLI * gaps;
    }

    /** Latency objective of a request: milliseconds to the first token and between tokens. */
    record Objective(double firstTokenMillis, double tokenMillis) {}
}
