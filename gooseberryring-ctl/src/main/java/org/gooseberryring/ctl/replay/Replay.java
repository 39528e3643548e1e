package org.gooseberryring.ctl.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.ctl.admin.Sleeper;

/** Sends the requests of a trace at the scheduled times. */
final class Replay {
    private static final long COMPLETION_POLL_INTERVAL_MILLIS = 20;

    private final RequestSender sender;
    private final Map<String, OrganisationAccess> organisations;
    private final LongSupplier clock;
    private final Sleeper sleeper;
    private final int maxInFlight;
    private final List<Outcome> outcomes = new ArrayList<>();
    private final AtomicInteger sentLate = new AtomicInteger();

    /**
     * Creates a replay.
     *
     * @param clock monotonic clock in milliseconds
     * @param maxInFlight maximum number of requests in flight; sending waits while it is reached
     */
    Replay(
            RequestSender sender,
            Map<String, OrganisationAccess> organisations,
            LongSupplier clock,
            Sleeper sleeper,
            int maxInFlight) {
        this.sender = sender;
        this.organisations = organisations;
        this.clock = clock;
        this.sleeper = sleeper;
        this.maxInFlight = maxInFlight;
    }

    /**
     * Sends a trace, waits until all requests have ended and returns their outcomes.
     *
     * @param speed factor by which the trace is sent faster than it was recorded
     * @param marks called with each mark at its time; must not block
     */
    List<Outcome> run(List<TraceLine> trace, double speed, Consumer<TraceLine> marks) {
        long start = clock.getAsLong();
        Semaphore slots = new Semaphore(maxInFlight);
        int number = 0;
        for (TraceLine line : trace) {
            awaitTime(start + Math.round(line.timeMillis() / speed));
            if (!line.request()) {
                marks.accept(line);
                continue;
            }
            if (!slots.tryAcquire()) {
                sentLate.incrementAndGet();
                slots.acquireUninterruptibly();
            }
            String key = organisations.get(line.organisation()).key();
            sender.send(number++, line, key, clock.getAsLong() - start, outcome -> {
                synchronized (outcomes) {
                    outcomes.add(outcome);
                }
                slots.release();
            });
        }
        while (slots.availablePermits() < maxInFlight) {
            sleeper.sleep(COMPLETION_POLL_INTERVAL_MILLIS);
        }
        synchronized (outcomes) {
            return List.copyOf(outcomes);
        }
    }

    /** Returns the number of requests that were sent late because too many were in flight. */
    int sentLate() {
        return sentLate.get();
    }

    private void awaitTime(long due) {
        long remaining = due - clock.getAsLong();
        while (remaining > 0) {
            sleeper.sleep(remaining);
            remaining = due - clock.getAsLong();
        }
    }
}
