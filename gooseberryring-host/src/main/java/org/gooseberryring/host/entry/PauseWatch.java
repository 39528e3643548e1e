package org.gooseberryring.host.entry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Finds out since when a signal may have been waiting, from the pauses of a timer.
 *
 * <p>A process without processor time handles a signal late, and does not learn when it was sent. Its timer is late at the
 * same time. Times are milliseconds of the monotonic clock.
 */
final class PauseWatch {
    /** Time without a tick from which on the process may not have run; the timer ticks every 25 ms. */
    private static final long PAUSE_MILLIS = 100;

    /** Time from the end of a pause within which the signals of the pause are handled. */
    private static final long HANDLING_MILLIS = 500;

    private final Deque<Pause> pauses = new ArrayDeque<>();
    private long lastTick;

    /** Creates a watch at the time of its first tick. */
    PauseWatch(long now) {
        lastTick = now;
    }

    /** Records that the process runs. */
    synchronized void tick(long now) {
        if (now - lastTick >= PAUSE_MILLIS) {
            pauses.add(new Pause(lastTick, now));
        }
        lastTick = now;
        while (!pauses.isEmpty() && now - pauses.getFirst().end() > HANDLING_MILLIS) {
            pauses.removeFirst();
        }
    }

    /** Returns the earliest time at which a signal that is handled now may have come, at most {@code maxMillis} ago. */
    synchronized long earliestSignal(long now, long maxMillis) {
        tick(now);
        long earliest = pauses.isEmpty() ? now : pauses.getFirst().start();
        return Math.max(earliest, now - maxMillis);
    }

    private record Pause(long start, long end) {}
}
