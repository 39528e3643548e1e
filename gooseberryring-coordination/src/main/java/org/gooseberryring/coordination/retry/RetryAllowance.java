package org.gooseberryring.coordination.retry;

/**
 * Retries that a service bears from all hosts in any window of time.
 *
 * @param windowMillis length of the window in milliseconds
 * @param ratio retries allowed for each request
 * @param extra retries allowed besides, over all hosts
 */
public record RetryAllowance(long windowMillis, double ratio, int extra) {}
