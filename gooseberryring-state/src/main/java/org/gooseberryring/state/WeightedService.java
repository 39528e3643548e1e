package org.gooseberryring.state;

/**
 * Service that receives a share of the requests of a route.
 *
 * @param service identifier of the service
 * @param weight share relative to the other services of the route
 */
public record WeightedService(String service, int weight) {}
