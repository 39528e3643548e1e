package org.gooseberryring.host.entry;

import java.util.function.ObjLongConsumer;

/** Selects the delays of a thread that are logged. */
final class LateThreadLog {
    /** Delay from which on it is logged. */
    private static final long LOGGED_DELAY_MILLIS = 300;

    /** Minimum interval between two log lines on delays. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final ObjLongConsumer<String> log;
    private long loggedAt = Long.MIN_VALUE / 2;

    /**
     * Creates the log of one thread.
     *
     * @param log writes a line with the name of the thread and its delay in milliseconds
     */
    LateThreadLog(ObjLongConsumer<String> log) {
        this.log = log;
    }

    /** Handles a delay; times are monotonic milliseconds. */
    void onDelay(String thread, long delayMillis, long now) {
        if (delayMillis >= LOGGED_DELAY_MILLIS && now - loggedAt >= LOG_INTERVAL_MILLIS) {
            loggedAt = now;
            log.accept(thread, delayMillis);
        }
    }
}
