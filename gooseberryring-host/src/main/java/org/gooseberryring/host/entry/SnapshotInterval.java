package org.gooseberryring.host.entry;

/** Interval between two snapshots of the request thread while requests are open. */
final class SnapshotInterval {
    private static final long MIN_MILLIS = 100;
    private static final long MAX_MILLIS = 300;

    /** Interval divided by the number of processor cores, so that a small host takes snapshots less often. */
    private static final double PROCESSOR_MILLIS = 50;

    private SnapshotInterval() {}

    /** Returns the interval in milliseconds; {@code processors} is 0 if unknown. */
    static long busyMillis(double processors) {
        double interval = processors > 0 ? PROCESSOR_MILLIS / processors : MIN_MILLIS;
        return (long) Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, interval));
    }
}
