package org.gooseberryring.transport.endpoint;

/**
 * Limits of the endpoint client.
 *
 * @param maxConnections requests in flight to one address
 * @param connectMillis milliseconds to open a connection
 * @param firstByteMillis milliseconds from the request to the first byte of the answer
 * @param idleMillis milliseconds without a byte in the middle of an answer
 * @param maxRecordedBytes largest answer that is kept for an idempotency key, in bytes
 */
public record EndpointLimits(
        int maxConnections, long connectMillis, long firstByteMillis, long idleMillis, int maxRecordedBytes) {}
