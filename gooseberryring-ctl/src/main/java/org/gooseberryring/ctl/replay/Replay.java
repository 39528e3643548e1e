package org.gooseberryring.ctl.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.ctl.admin.Sleeper;

/** Sends the requests of a trace at their times. */
final class Replay {
    private static final long END_POLL_MILLIS = 20;

    private final RequestSender sender;
    private final Map<String, OrganisationAccess> organisations;
    private final LongSupplier millis;
    private final Sleeper pause;
    private final int maxInFlight;
    private final List<Outcome> outcomes = new ArrayList<>();
    private final AtomicInteger late = new AtomicInteger();

    /**
     * Creates a replay.
     *
     * @param millis monotonic clock in milliseconds
     * @param maxInFlight requests in flight; sending waits while as many are
     */
    Replay(
            RequestSender sender,
            Map<String, OrganisationAccess> organisations,
            LongSupplier millis,
            Sleeper pause,
            int maxInFlight) {
        this.sender = sender;
        this.organisations = organisations;
        this.millis = millis;
        this.pause = pause;
        this.maxInFlight = maxInFlight;
    }

    /**
     * Sends a trace and returns the outcomes when every request has ended.
     *
     * @param speed factor by which the trace is sent faster than it was recorded
     * @param marks takes each mark at its time; must not block
     */
    List<Outcome> run(List<TraceLine> trace, double speed, Consumer<TraceLine> marks) {
        long start = millis.getAsLong();
        Semaphore slots = new Semaphore(maxInFlight);
        int number = 0;
        for (TraceLine line : trace) {
            awaitTime(start + Math.round(line.timeMillis() / speed));
            if (!line.request()) {
                marks.accept(line);
                continue;
            }
            if (!slots.tryAcquire()) {
                late.incrementAndGet();
                slots.acquireUninterruptibly();
            }
            String key = organisations.get(line.organisation()).key();
            sender.send(number++, line, key, millis.getAsLong() - start, outcome -> {
                synchronized (outcomes) {
                    outcomes.add(outcome);
                }
                slots.release();
            });
        }
        while (slots.availablePermits() < maxInFlight) {
            pause.millis(END_POLL_MILLIS);
        }
        synchronized (outcomes) {
            return List.copyOf(outcomes);
        }
    }

    /** Returns the requests that were sent late because too many were in flight. */
    int late() {
        return late.get();
    }

    private void awaitTime(long due) {
        long left = due - millis.getAsLong();
        while (left > 0) {
            pause.millis(left);
            left = due - millis.getAsLong();
        }
    }
}
