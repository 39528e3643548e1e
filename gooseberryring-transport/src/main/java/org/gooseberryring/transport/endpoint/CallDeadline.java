package org.gooseberryring.transport.endpoint;

import java.util.function.LongSupplier;

import io.undertow.util.HeaderMap;

/**
 * Deadline of a request, which its head states as the time that is left when the head is written.
 *
 * @param atMillis deadline in milliseconds of the clock
 * @param clock monotonic milliseconds
 * @param statement states the time that is left
 */
public record CallDeadline(long atMillis, LongSupplier clock, Statement statement) {
    /** Deadline of a request that has none. */
    public static final CallDeadline NONE = new CallDeadline(Long.MAX_VALUE, () -> 0, (headers, leftMillis) -> {});

    /** States in the head of a request how much time is left. */
    @FunctionalInterface
    public interface Statement {
        /**
         * Adds the statement to the complete headers of a request; called on the I/O thread directly before the write.
         *
         * @param leftMillis milliseconds to the deadline, at least 1
         */
        void addTo(HeaderMap headers, long leftMillis);
    }

    /** Returns the milliseconds that are left at a time of the clock, 0 or less if the deadline has passed. */
    public long leftMillis(long now) {
        return atMillis - now;
    }
}
