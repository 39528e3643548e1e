package org.gooseberryring.coordination.queue;

import java.util.Map;

import org.gooseberryring.state.PriorityClass;

/**
 * Settings of a {@link FairQueue}.
 *
 * @param maxItems maximum number of queued requests in total
 * @param maxItemsPerOrganisation maximum number of queued requests of one organisation
 * @param quantumTokens tokens that an organisation with weight 1 may send in each round
 * @param minimumShares minimum fraction of the service, from 0 to 1, that a priority class gets while it has requests
 */
public record QueueSettings(
        int maxItems, int maxItemsPerOrganisation, long quantumTokens, Map<PriorityClass, Double> minimumShares) {
    public QueueSettings {
        minimumShares = Map.copyOf(minimumShares);
        double sum =
                minimumShares.values().stream().mapToDouble(Double::doubleValue).sum();
        if (sum > 1 || minimumShares.values().stream().anyMatch(share -> share < 0)) {
            throw new IllegalArgumentException("minimumShares must not be negative or exceed 1 in sum: " + sum);
        }
    }

    /** Returns the default settings. */
    public static QueueSettings defaults() {
        return new QueueSettings(
                4_000,
                1_000,
                500,
                Map.of(PriorityClass.HIGH, 0.4, PriorityClass.NORMAL, 0.25, PriorityClass.BATCH, 0.1));
    }

    double minimumShare(PriorityClass priorityClass) {
        return minimumShares.getOrDefault(priorityClass, 0.0);
    }
}
