package org.gooseberryring.transport.http;

/**
 * Last times at which an I/O thread was asked to look at its sockets and then did so.
 *
 * <p>Bytes that the thread reads now were not there when it looked for the last time but one: the last look may be the
 * one that found them, and they may have come before it was asked for.
 *
 * @param earlier time of the last question but one that was answered, in monotonic milliseconds
 * @param last time of the last question that was answered, in monotonic milliseconds
 */
record SocketLooks(long earlier, long last) {
    /** Interval between an answer and the next question, in milliseconds. */
    static final long INTERVAL_MILLIS = 50;

    /** Time for two looks on a thread without a delay, in milliseconds. */
    private static final long TIMELY_MILLIS = 2 * INTERVAL_MILLIS;

    /** Returns the state of a thread that has no sockets yet. */
    static SocketLooks none(long now) {
        return new SocketLooks(now, now);
    }

    /** Returns the state after a look that was asked for at the given time. */
    SocketLooks afterLook(long askedAt) {
        return new SocketLooks(last, askedAt);
    }

    /**
     * Returns for how many milliseconds bytes that are read now may have waited for the thread; 0 if it looks at its
     * sockets in time. The true time is longer by {@link #TIMELY_MILLIS} at most.
     */
    long waitMillis(long now) {
        return Math.max(0, now - earlier - TIMELY_MILLIS);
    }
}
