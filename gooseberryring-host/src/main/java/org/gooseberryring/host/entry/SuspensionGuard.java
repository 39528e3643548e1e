package org.gooseberryring.host.entry;

import java.util.function.LongSupplier;

/**
 * Notices that the machine was suspended, during which the monotonic clock stands still.
 *
 * <p>The wall clock goes on meanwhile. A step of the wall clock looks the same, which only delays what is guarded until
 * the next confirmation.
 */
final class SuspensionGuard {
    private static final long MAX_DRIFT_MILLIS = 250;

    private final LongSupplier wallClock;
    private long offset;

    /** Creates a guard; {@code wallClock} gives milliseconds since the Unix epoch. */
    SuspensionGuard(LongSupplier wallClock) {
        this.wallClock = wallClock;
    }

    /** Takes the present relation of the clocks as the one to compare with. */
    void confirm(long now) {
        offset = wallClock.getAsLong() - now;
    }

    /** Returns whether the clocks moved alike since they were last confirmed. */
    boolean holds(long now) {
        return Math.abs(wallClock.getAsLong() - now - offset) <= MAX_DRIFT_MILLIS;
    }
}
