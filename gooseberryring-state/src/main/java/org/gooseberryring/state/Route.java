package org.gooseberryring.state;

import java.util.List;

/**
 * Rule that sends the requests for a host name and a path prefix to services.
 *
 * @param id identifier, unique in the configuration
 * @param hostName value of the Host header, without a port
 * @param pathPrefix prefix of the path, which starts and ends with a slash
 * @param kind kind of the requests, which determines whether they may be repeated
 * @param timeoutMillis time-out of a request, in milliseconds
 * @param objectiveMillis objective for the time until the response starts, in milliseconds
 * @param maxGapMillis longest gap between the events of a stream that meets the objective, in milliseconds; 0 if the
 *     response is not a stream
 * @param rank priority rank; rank 0 is served first
 * @param services services that share the requests
 * @param maxAttempts maximum number of endpoints to which one request may be sent
 * @param open whether requests are accepted without an API key
 * @param resumable whether another endpoint may continue a broken stream
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

    /** Returns whether a request may safely run more than once. */
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
        double remaining = draw * total;
        for (WeightedService each : services) {
            remaining -= each.weight();
            if (remaining < 0) {
                return each.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
