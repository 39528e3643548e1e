package org.gooseberryring.state;

/**
 * Bounds on what a caller may send.
 *
 * @param headerBytes largest head of a request
 * @param bodyBytes largest body of a request
 * @param headerMillis milliseconds in which a head must arrive
 * @param idleMillis milliseconds for which an idle connection is kept
 */
public record RequestLimits(int headerBytes, int bodyBytes, int headerMillis, int idleMillis) {}
