package org.gooseberryring.coordination.retry;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;

/** Decides which failed attempts are followed by another one. */
public interface Retries {
    /** Counts the first attempt of a request. */
    void firstAttempt(RequestSpec spec, long now);

    /**
     * Decides on a retry and takes it from the budget if it is allowed.
     *
     * @param outcome how the attempt ended
     * @param bytesReachedCaller whether a byte of an answer went to the caller
     * @param sends how often the request was sent to an endpoint so far
     * @param now monotonic time in milliseconds
     */
    boolean retry(RequestSpec spec, AttemptOutcome outcome, boolean bytesReachedCaller, int sends, long now);
}
