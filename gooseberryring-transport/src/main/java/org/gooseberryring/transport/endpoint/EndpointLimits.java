package org.gooseberryring.transport.endpoint;

/**
 * Limits of the endpoint client.
 *
 * @param maxConnections maximum number of requests in flight to one address
 * @param connectMillis time-out for opening a connection, in milliseconds
 * @param firstByteMillis time-out from the request to the first byte of the response, in milliseconds
 * @param idleMillis time-out between bytes of a response, in milliseconds
 * @param maxRecordedBytes largest response that is recorded for an idempotency key, in bytes
 */
public record EndpointLimits(
        int maxConnections, long connectMillis, long firstByteMillis, long idleMillis, int maxRecordedBytes) {}
