package org.gooseberryring.coordination.feed;

/**
 * Times of a feed, in milliseconds.
 *
 * @param waitMillis longest wait of one watch
 * @param overdueMillis time after the expected response to a call after which the call is made again beside it
 * @param staleMillis time since the store confirmed the known state after which a host that follows another one calls the
 *     store itself
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
        long overdueMillis,
        long staleMillis,
        long minIntervalMillis,
        long minRetryMillis,
        long maxRetryMillis,
        long outageMillis,
        long graceMillis,
        long restoreGraceMillis,
        long expiryMillis) {
    /**
     * Part of the time by which a change must be in force for which a watch waits. After it, a lost response is noticed
     * and the change travels over the relay, or each host calls the store itself and may lose a response, too.
     */
    private static final double WATCH_SHARE = 0.4;

    /** Time beyond its wait in which the store responds to a call. */
    private static final long OVERDUE_MILLIS = 150;

    /** Time beyond the wait of a relay's watch after which its confirmation has reached the other hosts. */
    private static final long PASSING_MILLIS = 600;

    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 800;

    /** Time without a response after which the store counts as unavailable. */
    private static final long OUTAGE_MILLIS = 700;

    /**
     * Returns the times for a collection whose changes must be in force on every host within a time.
     *
     * @param inForceMillis that time, in milliseconds; the other times are those of the record
     */
    public static FeedTimes within(
            long inForceMillis, long minIntervalMillis, long graceMillis, long restoreGraceMillis, long expiryMillis) {
        return withWait(
                (long) (inForceMillis * WATCH_SHARE), minIntervalMillis, graceMillis, restoreGraceMillis, expiryMillis);
    }

    /** Returns the times for a collection with the given longest wait of a watch, in milliseconds. */
    public static FeedTimes withWait(
            long waitMillis, long minIntervalMillis, long graceMillis, long restoreGraceMillis, long expiryMillis) {
        return new FeedTimes(
                waitMillis,
                OVERDUE_MILLIS,
                waitMillis + PASSING_MILLIS,
                minIntervalMillis,
                MIN_RETRY_MILLIS,
                MAX_RETRY_MILLIS,
                OUTAGE_MILLIS,
                graceMillis,
                restoreGraceMillis,
                expiryMillis);
    }
}
