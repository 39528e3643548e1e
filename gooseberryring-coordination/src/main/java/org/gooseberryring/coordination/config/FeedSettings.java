package org.gooseberryring.coordination.config;

/**
 * Timing of the configuration feed.
 *
 * @param watchMillis longest time that a watch waits in the store
 * @param pollAfterMillis age of the last confirmation after which a host without a watch polls
 * @param pollsPerSecond polls a second of all hosts of a failure domain together, when they poll
 * @param minRetryMillis first waiting time after a failed call
 * @param maxRetryMillis longest waiting time after failed calls
 * @param peerTimeoutMillis time after which a request to a peer counts as lost
 * @param fanOut peers that are told at once about a new revision
 * @param relays hosts in each failure domain that hold a watch
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
    /** Returns the settings of a normal installation. */
    public static FeedSettings defaults() {
        return new FeedSettings(10_000, 60_000, 2, 200, 10_000, 1_000, 4, 2);
    }
}
