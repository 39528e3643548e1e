package org.gooseberryring.coordination.retry;

/**
 * Retries that a service accepts from all hosts together in any time window.
 *
 * @param windowMillis length of the window in milliseconds
 * @param ratio retries allowed for each request
 * @param extra additional retries allowed, over all hosts
 */
public record RetryAllowance(long windowMillis, double ratio, int extra) {}
