package org.gooseberryring.host.entry;

import java.util.function.LongSupplier;

/**
 * Notices that the machine was suspended, during which the monotonic clock stands still.
 *
 * <p>The wall clock goes on meanwhile. A step of the wall clock looks the same and is treated alike.
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

    /** Returns whether the clocks have moved alike since an earlier time, at which this was called too. */
    boolean steadySince(long time, long now) {
        long present = wallClock.getAsLong() - now;
        if (lastShiftAt == Long.MIN_VALUE || Math.abs(present - offset) > MAX_DRIFT_MILLIS) {
            offset = present;
            lastShiftAt = now;
        }
        return time > lastShiftAt;
    }
}
