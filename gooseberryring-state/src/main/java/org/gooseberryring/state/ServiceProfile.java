package org.gooseberryring.state;

/**
 * Service of an installation.
 *
 * @param id identifier, unique in the configuration
 * @param healthPath path of the health check of its endpoints
 * @param maxConnections connections that one endpoint accepts from all hosts
 * @param coldMillis milliseconds for which an endpoint stays cold after its start
 * @param coldRequestsPerSecond requests that a cold endpoint takes each second from all hosts, 0 for no limit
 * @param engine what its engines can do, null for a plain service
 */
public record ServiceProfile(
        String id,
        String healthPath,
        int maxConnections,
        long coldMillis,
        double coldRequestsPerSecond,
        EngineProfile engine) {}
