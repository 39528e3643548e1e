package org.gooseberryring.state;

import java.util.List;

/**
 * Rule that sends the requests for a host name and a path prefix to services.
 *
 * @param id identifier, unique in the configuration
 * @param hostName value of the Host header, without a port
 * @param pathPrefix beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis milliseconds after which a request gets its final answer
 * @param objectiveMillis milliseconds within which an answer should start
 * @param maxGapMillis longest pause between the events of a stream that counts as on time, 0 if it is not a stream
 * @param rank urgency, 0 first
 * @param services services that share the requests
 * @param maxAttempts most endpoints that one request may be sent to
 * @param open whether requests need no key
 * @param resumable whether a broken stream may go on at another endpoint
 */
public record Route(
        String id,
        String hostName,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long maxGapMillis,
        int rank,
        List<WeightedService> services,
        int maxAttempts,
        boolean open,
        boolean resumable) {
    public Route {
        services = List.copyOf(services);
    }

    /** Returns whether a request may run more than once without harm. */
    public boolean repeatable() {
        return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAM && resumable;
    }

    /**
     * Chooses one of the services by their weights.
     *
     * @param draw uniform number from 0 (inclusive) to 1 (exclusive)
     */
    public String service(double draw) {
        int total = 0;
        for (WeightedService each : services) {
            total += each.weight();
        }
        double left = draw * total;
        for (WeightedService each : services) {
            left -= each.weight();
            if (left < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
