package org.gooseberryring.coordination.feed;

/**
 * Times of a feed, in milliseconds.
 *
 * @param waitMillis longest wait of one watch, after which a silent connection is detected
 * @param minIntervalMillis shortest time between two watches, so that changes in quick succession are batched
 * @param minRetryMillis first retry delay after a failed call
 * @param maxRetryMillis longest retry delay after failed calls
 * @param outageMillis time without a response that counts as an outage of the store
 * @param graceMillis time after an outage for which missing objects are kept; 0 if they are removed at once
 * @param restoreGraceMillis the same after the store was restored from an older copy
 * @param expiryMillis time after which an object expires that its owner does not renew; 0 if objects do not expire
 */
public record FeedTimes(
        long waitMillis,
        long minIntervalMillis,
        long minRetryMillis,
        long maxRetryMillis,
        long outageMillis,
        long graceMillis,
        long restoreGraceMillis,
        long expiryMillis) {}
