package org.gooseberryring.host;

import java.util.concurrent.TimeUnit;

/** Provides the monotonic and the wall-clock time of a host. */
public final class HostClock {
    private final long startNanos = System.nanoTime();

    /** Returns the monotonic time since the host started, in milliseconds; the first value is 1. */
    public long now() {
        return 1 + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Returns the milliseconds since the Unix epoch; the wall clock may go back, so durations need {@link #now}. */
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
