package org.gooseberryring.state;

/**
 * Service of a deployment.
 *
 * @param id identifier, unique in the configuration
 * @param healthPath path of the health check of its endpoints
 * @param maxConnections maximum number of connections that one endpoint accepts from all hosts together
 * @param coldMillis duration of the cold phase after the start of an endpoint, in milliseconds
 * @param coldRequestsPerSecond maximum requests per second to a cold endpoint from all hosts together, 0 for no limit
 * @param engine profile of its model engines, null for a plain service
 */
public record ServiceProfile(
        String id,
        String healthPath,
        int maxConnections,
        long coldMillis,
        double coldRequestsPerSecond,
        EngineProfile engine) {}
