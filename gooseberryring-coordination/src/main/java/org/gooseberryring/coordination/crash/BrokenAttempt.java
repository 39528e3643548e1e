package org.gooseberryring.coordination.crash;

import java.util.List;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;

/**
 * Attempt that ended because its connection broke, as when the endpoint crashes.
 *
 * @param requestId request that was sent
 * @param digest digest of the request
 * @param request whole request as a part, null if the end of the endpoint is no evidence against it
 * @param parts parts of the prompt that other requests may have as well, in order
 * @param runMillis milliseconds from dispatch to the end of the attempt
 * @param responseMillis milliseconds from the first byte of the response to the end of the attempt, 0 if there was none
 */
public record BrokenAttempt(
        String requestId,
        String digest,
        RequestPart request,
        List<RequestPart> parts,
        long runMillis,
        long responseMillis) {
    public BrokenAttempt {
        parts = List.copyOf(parts);
    }

    /** Returns the broken attempt of a request with the given outcome. */
    public static BrokenAttempt of(RequestSpec spec, AttemptOutcome outcome) {
        return new BrokenAttempt(
                spec.id(),
                spec.digest(),
                RequestPart.ofWhole(spec),
                RequestPart.ofPrompt(spec),
                outcome.runMillis(),
                outcome.responseMillis());
    }

    /** Returns this attempt without evidence against the request, for an endpoint that may have ended as planned. */
    public BrokenAttempt withoutEvidence() {
        return new BrokenAttempt(requestId, digest, null, List.of(), runMillis, responseMillis);
    }
}
