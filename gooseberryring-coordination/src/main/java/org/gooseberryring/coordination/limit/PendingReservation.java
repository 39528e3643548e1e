package org.gooseberryring.coordination.limit;

/**
 * Request that waits for tokens.
 *
 * @param requestId identifier of the request
 * @param tokens requested tokens
 * @param sequence sequence number in order of arrival
 */
record PendingReservation(String requestId, long tokens, long sequence) {}
