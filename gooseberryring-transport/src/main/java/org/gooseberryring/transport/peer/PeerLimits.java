package org.gooseberryring.transport.peer;

/**
 * Limits of the peer links.
 *
 * @param maxFrameBytes maximum size of a frame in either direction, in bytes
 * @param maxQueuedFrames maximum number of frames queued for one peer
 * @param maxIncoming maximum number of connections from other hosts to this one
 * @param connectMillis time-out for opening a connection, in milliseconds
 * @param minBackoffMillis initial retry delay of a connection, in milliseconds
 * @param maxBackoffMillis maximum retry delay of a connection, in milliseconds
 */
public record PeerLimits(
        int maxFrameBytes,
        int maxQueuedFrames,
        int maxIncoming,
        int connectMillis,
        long minBackoffMillis,
        long maxBackoffMillis) {
    /** Returns the defaults; a frame must fit a complete configuration, which is at most 1 MB. */
    public static PeerLimits defaults(int maxQueuedFrames) {
        return new PeerLimits(2_000_000, maxQueuedFrames, 4096, 1000, 50, 5000);
    }
}
