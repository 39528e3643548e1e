package org.gooseberryring.host;

import java.util.concurrent.TimeUnit;

/** Clock of a host. */
public final class HostClock {
    private final long startNanos = System.nanoTime();

    /** Returns monotonic milliseconds since the host started, from 1. */
    public long now() {
        return 1 + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Returns milliseconds since the Unix epoch, for audit records only. */
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
