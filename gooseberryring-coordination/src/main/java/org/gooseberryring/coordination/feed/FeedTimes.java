package org.gooseberryring.coordination.feed;

/**
 * Times of a feed, in milliseconds.
 *
 * @param waitMillis longest wait of one watch; a connection that went silent is noticed after it
 * @param pauseMillis shortest time between two watches, in which changes in quick succession gather
 * @param minRetryMillis first wait after a failed call
 * @param maxRetryMillis longest wait after failed calls
 * @param outageMillis time without an answer that counts as an outage of the store
 * @param graceMillis time after an outage for which missing objects may still come back; 0 if they are gone at once
 * @param restoreGraceMillis the same after the store came back from an older copy
 * @param lapseMillis time in which an object lapses that its owner does not renew; 0 if objects do not lapse
 */
public record FeedTimes(
        long waitMillis,
        long pauseMillis,
        long minRetryMillis,
        long maxRetryMillis,
        long outageMillis,
        long graceMillis,
        long restoreGraceMillis,
        long lapseMillis) {}
