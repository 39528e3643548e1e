package org.gooseberryring.coordination.retry;

import java.util.List;

import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.coordination.request.RequestSpec;
import org.gooseberryring.state.PromptShape;

/**
 * Attempt that ended because its connection broke, as when the endpoint crashes.
 *
 * @param requestId request that was sent
 * @param digest digest of the request
 * @param sharedParts identifiers of the prompt parts that other requests may have as well
 * @param runMillis milliseconds from dispatch to the end of the attempt
 * @param responseMillis milliseconds from the first byte of the response to the end of the attempt, 0 if there was none
 */
public record BrokenAttempt(
        String requestId, String digest, List<Long> sharedParts, long runMillis, long responseMillis) {
    public BrokenAttempt {
        sharedParts = List.copyOf(sharedParts);
    }

    /** Returns the broken attempt of a request with the given outcome. */
    public static BrokenAttempt of(RequestSpec spec, AttemptOutcome outcome) {
        List<Long> parts = spec.handling().prompt().sharedParts().stream()
                .map(PromptShape.Part::id)
                .toList();
        return new BrokenAttempt(spec.id(), spec.digest(), parts, outcome.runMillis(), outcome.responseMillis());
    }
}
