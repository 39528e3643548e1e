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

    /** Time in which the load balancer detects the failing readiness check, by two checks one second apart. */
    private static final long READINESS_NOTICE_MILLIS = 3_000;

    /** Part of the shutdown time that is reserved for ending the process after the requests. */
    private static final long EXIT_RESERVE_MILLIS = 400;

    private final EntrySettings settings;
    private final OpenRequests open;
    private final FrontListener callers;
    private final CountDownLatch closed;
    private final LongSupplier clock;

    /** Creates a drain; {@code closed} ends the wait early, {@code clock} gives monotonic milliseconds. */
    EntryDrain(
            EntrySettings settings,
            OpenRequests open,
            FrontListener callers,
            CountDownLatch closed,
            LongSupplier clock) {
        this.settings = settings;
        this.open = open;
        this.callers = callers;
        this.closed = closed;
        this.clock = clock;
    }

    /**
     * Drains the host.
     *
     * @param markUnready makes the readiness check fail from now on
     * @param rejectWaiting rejects the requests that no endpoint runs, so that their callers retry on another host
     */
    void run(Runnable markUnready, Runnable rejectWaiting) {
        long end = clock.getAsLong() + settings.shutdownMillis() - EXIT_RESERVE_MILLIS;
        LogLine.event("drain-started").with("open", open.count()).info(LOG);
        markUnready.run();
        callers.announceClose();
        try {
            closed.await(Math.min(READINESS_NOTICE_MILLIS, settings.shutdownMillis() / 2), TimeUnit.MILLISECONDS);
            open.drain();
            rejectWaiting.run();
            callers.closeIdle();
            boolean complete = open.awaitEmpty(Math.max(1, end - clock.getAsLong()));
            rejectWaiting.run();
            LogLine.event("drain-ended")
                    .with("complete", complete)
                    .with("open", open.count())
                    .info(LOG);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
