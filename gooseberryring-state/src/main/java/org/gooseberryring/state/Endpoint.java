package org.gooseberryring.state;

/**
 * Endpoint that runs models or a plain service.
 *
 * @param id identifier, unique in the configuration
 * @param kind kind of work that it does
 * @param failureDomain failure domain that it lies in
 * @param address IP address and port, as {@code ip:port}
 * @param memoryBytes accelerator memory in bytes; 0 for a plain service
 * @param maxConcurrency requests that it can run at once when warm
 * @param fencingEnforced whether it refuses orders with an old fencing number
 * @param leaving whether it takes no new work
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
