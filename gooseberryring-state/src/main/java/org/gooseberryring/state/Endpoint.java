package org.gooseberryring.state;

/**
 * Endpoint that runs models or a plain service.
 *
 * @param id identifier, unique in the configuration
 * @param kind kind of the endpoint
 * @param failureDomain failure domain in which the endpoint is located
 * @param address IP address and port, as {@code ip:port}
 * @param memoryBytes accelerator memory in bytes; 0 for a plain service
 * @param maxConcurrency maximum number of requests that it can run concurrently when warm
 * @param fencingEnforced whether it rejects orders with an outdated fencing number
 * @param leaving whether the endpoint is draining and accepts no new work
 */
public record Endpoint(
        String id,
        EndpointKind kind,
        String failureDomain,
        String address,
        long memoryBytes,
        int maxConcurrency,
        boolean fencingEnforced,
        boolean leaving) {}
