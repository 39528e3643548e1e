package org.gooseberryring.coordination.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.PromptShape;

/** Measures the demand of the callers of one host by model and adapter. */
final class TargetDemand {
    /** Share of the tokens in common prompt parts that endpoints process, since they do not have all of them cached. */
    private static final double UNCACHED_SHARE = 0.25;

    /** Cost of a request in addition to its prompt, in tokens. */
    private static final double REQUEST_TOKENS = 200;

    /** Demand in tokens per second below which a target is removed. */
    private static final double MIN_TOKENS_PER_SECOND = 1;

    private final Map<RequestTarget.RoutedTarget, DecayingRate> rates = new HashMap<>();

    /** Adds the work of a request that arrived. */
    void record(RequestTarget.RoutedTarget target, PromptShape prompt, long now) {
        rates.computeIfAbsent(target, key -> new DecayingRate()).add(work(prompt), now);
    }

    /** Returns the demand by target; removes targets with little demand and no request in flight. */
    Map<RequestTarget.RoutedTarget, ArtifactUse> uses(Map<RequestTarget.RoutedTarget, Integer> inFlight, long now) {
        rates.entrySet()
                .removeIf(entry -> entry.getValue().perSecond(now) < MIN_TOKENS_PER_SECOND
                        && !inFlight.containsKey(entry.getKey()));
        Map<RequestTarget.RoutedTarget, ArtifactUse> uses = new HashMap<>();
        rates.forEach((target, rate) ->
                uses.put(target, new ArtifactUse(rate.perSecond(now), inFlight.getOrDefault(target, 0))));
        return uses;
    }

    /** Returns the estimated tokens that an endpoint processes for a prompt, most of whose common parts are cached. */
    private static double work(PromptShape prompt) {
        List<PromptShape.Part> parts = prompt.parts();
        int last = parts.isEmpty()
                ? prompt.inputTokens()
                : parts.get(parts.size() - 1).tokens();
        return last + UNCACHED_SHARE * (prompt.inputTokens() - last) + REQUEST_TOKENS;
    }
}
