package org.gooseberryring.coordination.retry;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;

/** Decides which failed attempts are followed by another one. */
public interface Retries {
    /** Counts the first attempt of a request. */
    void firstAttempt(RequestSpec spec, long now);

    /**
     * Decides whether the request is retried, and charges the budget for an allowed retry.
     *
     * @param outcome how the attempt ended
     * @param bytesReachedCaller whether a byte of a response was sent to the caller
     * @param sends number of times that the request has been sent to an endpoint
     * @param now monotonic time in milliseconds
     */
    boolean retry(RequestSpec spec, AttemptOutcome outcome, boolean bytesReachedCaller, int sends, long now);
}
