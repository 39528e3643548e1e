package org.gooseberryring.state;

import java.util.List;

/**
 * Organisation to which callers belong, with its token rate and burst.
 *
 * @param id identifier, unique in the configuration
 * @param rateTokensPerSecond tokens admitted per second across all hosts
 * @param burstTokens tokens that may be admitted above the rate
 * @param weight weight in the fair queue relative to other organisations, at least 1
 * @param priorityClasses priority classes that its requests may use; the first is the default
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
