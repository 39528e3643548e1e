package org.gooseberryring.state;

/**
 * One process of an endpoint. A restarted endpoint may keep its identifier.
 *
 * @param endpoint identifier of the endpoint
 * @param bornMillis start time of the process in milliseconds since the Unix epoch, 0 if unknown
 */
public record EndpointProcess(String endpoint, long bornMillis) {}
