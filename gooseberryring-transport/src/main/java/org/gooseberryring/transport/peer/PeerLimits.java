package org.gooseberryring.transport.peer;

/**
 * Bounds of the peer links.
 *
 * @param maxFrameBytes largest frame in either direction
 * @param maxQueuedFrames frames that wait for one peer
 * @param maxIncoming connections that other hosts hold to this one
 * @param connectMillis milliseconds to open a connection
 * @param minBackoffMillis first wait before a connection is tried again
 * @param maxBackoffMillis longest wait before a connection is tried again
 */
public record PeerLimits(
        int maxFrameBytes,
        int maxQueuedFrames,
        int maxIncoming,
        int connectMillis,
        long minBackoffMillis,
        long maxBackoffMillis) {
    /** Returns the defaults; a frame holds a whole configuration, which takes at most 1 MB. */
    public static PeerLimits defaults(int maxQueuedFrames) {
        return new PeerLimits(2_000_000, maxQueuedFrames, 4096, 1000, 50, 5000);
    }
}
