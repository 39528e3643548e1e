package org.gooseberryring.coordination.config;

/**
 * Timing of the configuration feed.
 *
 * @param watchMillis longest time that a watch waits for a change
 * @param pollAfterMillis age of the last confirmation after which a host without a watch polls
 * @param pollsPerSecond maximum rate of polls of all hosts of a failure domain together
 * @param minRetryMillis initial retry delay after a failed call
 * @param maxRetryMillis maximum retry delay after failed calls
 * @param peerTimeoutMillis time-out of a request to a peer
 * @param fanOut number of peers that are notified immediately of a new revision
 * @param relays number of hosts in each failure domain that watch the store
 */
public record FeedSettings(
        long watchMillis,
        long pollAfterMillis,
        double pollsPerSecond,
        long minRetryMillis,
        long maxRetryMillis,
        long peerTimeoutMillis,
        int fanOut,
        int relays) {
    /** Returns the default settings. */
    public static FeedSettings defaults() {
        return new FeedSettings(10_000, 60_000, 2, 200, 10_000, 1_000, 4, 2);
    }
}
