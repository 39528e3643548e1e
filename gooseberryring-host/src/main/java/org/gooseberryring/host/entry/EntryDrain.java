package org.gooseberryring.host.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/** Graceful shutdown of an entry host. */
final class EntryDrain {
    private static final Logger LOG = Logger.getLogger(EntryDrain.class);

    /** Time to write the responses to the requests that are ended. */
    private static final long LAST_RESPONSES_MILLIS = 200;

    private final DrainSchedule schedule;
    private final OpenRequests open;
    private final FrontListener callers;
    private final CountDownLatch closed;
    private final LongSupplier clock;

    /** Creates a drain; {@code closed} ends the wait early, {@code clock} gives monotonic milliseconds. */
    EntryDrain(
            DrainSchedule schedule,
            OpenRequests open,
            FrontListener callers,
            CountDownLatch closed,
            LongSupplier clock) {
        this.schedule = schedule;
        this.open = open;
        this.callers = callers;
        this.closed = closed;
        this.clock = clock;
    }

    /**
     * Drains the host, whose readiness check fails already.
     *
     * @param rejectWaiting rejects the requests that no endpoint runs, so that their callers retry on another host
     * @param endRunning ends the requests that endpoints still run, with a response if none has started
     * @param close closes the host; it may take long, since calls to the store may be under way
     */
    void run(Runnable rejectWaiting, Runnable endRunning, Runnable close) {
        LogLine.event("drain-started")
                .with("open", open.count())
                .with("lateMs", clock.getAsLong() - schedule.startedAt())
                .info(LOG);
        callers.announceClose();
        try {
            closed.await(schedule.rejectsFrom() - clock.getAsLong(), TimeUnit.MILLISECONDS);
            open.drain();
            rejectWaiting.run();
            callers.closeIdle();
            boolean complete = awaitEmpty(schedule.end() - LAST_RESPONSES_MILLIS);
            rejectWaiting.run();
            LogLine.event("drain-ended")
                    .with("complete", complete)
                    .with("open", open.count())
                    .info(LOG);
            if (!complete) {
                endRunning.run();
                awaitEmpty(schedule.end());
            }
            close(close);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the host; returns when the process has to end, at the latest. */
    private void close(Runnable close) throws InterruptedException {
        Thread closing = new Thread(close, "close");
        closing.setDaemon(true);
        closing.start();
        closing.join(Math.max(1, schedule.closedBy() - clock.getAsLong()));
        if (closing.isAlive()) {
            LogLine.event("close-abandoned").info(LOG);
        }
    }

    private boolean awaitEmpty(long until) throws InterruptedException {
        return open.awaitEmpty(Math.max(1, until - clock.getAsLong()));
    }
}
