package org.gooseberryring.state;

/**
 * Limits for requests of callers.
 *
 * @param headerBytes maximum size of the head of a request, in bytes
 * @param bodyBytes maximum size of the body of a request, in bytes
 * @param headerMillis time-out for receiving a head, in milliseconds
 * @param idleMillis time after which an idle connection is closed, in milliseconds
 */
public record RequestLimits(int headerBytes, int bodyBytes, int headerMillis, int idleMillis) {}
