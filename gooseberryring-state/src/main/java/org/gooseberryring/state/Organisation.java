package org.gooseberryring.state;

import java.util.List;

/**
 * Organisation that callers belong to, with its token rate and burst.
 *
 * @param id identifier, unique in the configuration
 * @param rateTokensPerSecond tokens a second admitted over all hosts
 * @param burstTokens tokens that may be admitted above the rate
 * @param weight share in the fair queue relative to other organisations, at least 1
 * @param priorityClasses classes that its requests may name; the first is the default
 */
public record Organisation(
        String id, long rateTokensPerSecond, long burstTokens, int weight, List<PriorityClass> priorityClasses) {
    public Organisation {
        priorityClasses = priorityClasses == null || priorityClasses.isEmpty()
                ? List.of(PriorityClass.NORMAL)
                : List.copyOf(priorityClasses);
        weight = Math.max(1, weight);
    }
}
