package org.gooseberryring.host.entry;

import java.util.function.LongSupplier;

/**
 * Detects suspensions of the machine by comparing the wall clock with the monotonic clock.
 *
 * <p>During a suspension the monotonic clock stands still while the wall clock advances. A step of the wall clock cannot be
 * distinguished from a suspension and is treated as one.
 */
final class SuspensionGuard {
    private static final long MAX_DRIFT_MILLIS = 250;

    private final LongSupplier wallClock;
    private long offset;
    private long lastShiftAt = Long.MIN_VALUE;

    /** Creates a guard; {@code wallClock} gives milliseconds since the Unix epoch. */
    SuspensionGuard(LongSupplier wallClock) {
        this.wallClock = wallClock;
    }

    /** Returns whether no suspension was detected since an earlier time, at which this method was called too. */
    boolean isSteadySince(long time, long now) {
        long present = wallClock.getAsLong() - now;
        if (lastShiftAt == Long.MIN_VALUE || Math.abs(present - offset) > MAX_DRIFT_MILLIS) {
            offset = present;
            lastShiftAt = now;
        }
        return time > lastShiftAt;
    }
}
