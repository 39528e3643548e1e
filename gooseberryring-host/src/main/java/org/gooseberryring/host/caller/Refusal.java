package org.gooseberryring.host.caller;

import org.gooseberryring.state.ErrorCode;
import org.gooseberryring.state.Verdict;

/**
 * Refusal of a request.
 *
 * @param code reason
 * @param verdict whether the request may have run
 * @param retryAfterMillis milliseconds after which the caller may retry, 0 if a retry does not help
 * @param detail explanation for the caller
 */
public record Refusal(ErrorCode code, Verdict verdict, long retryAfterMillis, String detail) {
    /** Returns a refusal of a request that did not run and for which a retry does not help. */
    public static Refusal of(ErrorCode code, String detail) {
        return new Refusal(code, Verdict.NOT_RUN, 0, detail);
    }

    /** Returns a refusal of a request that did not run and that the caller may retry. */
    public static Refusal retry(ErrorCode code, long retryAfterMillis, String detail) {
        return new Refusal(code, Verdict.NOT_RUN, retryAfterMillis, detail);
    }
}
