package org.gooseberryring.coordination.stream;

/**
 * Stream that a request begins or takes up.
 *
 * @param key identifies the stream over all requests of its caller, {@link #UNKNOWN_KEY} if the caller takes it up without
 *     naming the request that began it
 * @param takenUp whether the caller already has events of the stream
 */
public record StreamReference(long key, boolean takenUp) {
    /** Key of a stream whose first request is not known. */
    public static final long UNKNOWN_KEY = 0;

    /** Returns whether the request that began the stream is known. */
    public boolean hasKey() {
        return key != UNKNOWN_KEY;
    }
}
