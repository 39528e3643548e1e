package org.gooseberryring.coordination.request;

import org.gooseberryring.state.Verdict;

/**
 * Outcome of one attempt at an endpoint.
 *
 * @param verdict whether the attempt may have run
 * @param status HTTP status of the response, 0 if there was none
 * @param usedTokens tokens that the endpoint reported, 0 if unknown
 * @param bytesReachedCaller whether any byte of the response was sent to the caller
 * @param endpointLost whether the connection broke, as when the endpoint dies
 * @param firstTokenMillis milliseconds from dispatch to the first byte of the response, -1 if there was none
 * @param sent whether a byte of the request may have left this host
 * @param runMillis milliseconds from dispatch to the end of the attempt
 */
public record AttemptOutcome(
        Verdict verdict,
        int status,
        long usedTokens,
        boolean bytesReachedCaller,
        boolean endpointLost,
        long firstTokenMillis,
        boolean sent,
        long runMillis) {
    private static final int STATUS_CLASS = 100;
    private static final int SUCCESS_CLASS = 2;

    /** Creates the outcome of an attempt that was sent and whose duration is unknown. */
    public AttemptOutcome(
            Verdict verdict,
            int status,
            long usedTokens,
            boolean bytesReachedCaller,
            boolean endpointLost,
            long firstTokenMillis) {
        this(verdict, status, usedTokens, bytesReachedCaller, endpointLost, firstTokenMillis, true, 0);
    }

    /** Returns this outcome of an attempt whose endpoint does not count as lost. */
    public AttemptOutcome atLiveEndpoint() {
        return new AttemptOutcome(
                verdict, status, usedTokens, bytesReachedCaller, false, firstTokenMillis, sent, runMillis);
    }

    /** Returns this outcome of an attempt whose request has not reached the endpoint, which may be lost. */
    public AttemptOutcome unsent(boolean lost) {
        return new AttemptOutcome(verdict, 0, usedTokens, bytesReachedCaller, lost, firstTokenMillis, false, runMillis);
    }

    /** Returns whether the endpoint has answered the request completely and with success. */
    public boolean isAnswered() {
        return verdict == Verdict.COMPLETED && firstTokenMillis >= 0 && status / STATUS_CLASS == SUCCESS_CLASS;
    }

    /** Returns the milliseconds from the first byte of the response to the end of the attempt, 0 if there was none. */
    public long responseMillis() {
        return firstTokenMillis < 0 ? 0 : runMillis - firstTokenMillis;
    }
}
