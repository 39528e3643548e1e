package org.gooseberryring.host.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/** Steps of a graceful stop of an entry host. */
final class EntryDrain {
    private static final Logger LOG = Logger.getLogger(EntryDrain.class);

    /** Time in which the load balancer notices, by two checks that are a second apart. */
    private static final long NOTICE_MILLIS = 3_000;

    /** Time that is left to end the process after its requests. */
    private static final long RESERVE_MILLIS = 400;

    private final EntrySettings settings;
    private final OpenRequests open;
    private final FrontListener callers;
    private final CountDownLatch closed;
    private final LongSupplier clock;

    /** Creates the steps; {@code closed} ends the wait early, {@code clock} gives monotonic milliseconds. */
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
     * @param unready makes its readiness check fail from then on
     * @param refuseWaiting refuses the requests that no endpoint runs, so that their callers go to another host
     */
    void run(Runnable unready, Runnable refuseWaiting) {
        long end = clock.getAsLong() + settings.shutdownMillis() - RESERVE_MILLIS;
        LogLine.event("drain-started").with("open", open.count()).info(LOG);
        unready.run();
        callers.announceClose();
        try {
            closed.await(Math.min(NOTICE_MILLIS, settings.shutdownMillis() / 2), TimeUnit.MILLISECONDS);
            open.drain();
            refuseWaiting.run();
            callers.closeIdle();
            boolean done = open.awaitEmpty(Math.max(1, end - clock.getAsLong()));
            refuseWaiting.run();
            LogLine.event("drain-ended")
                    .with("complete", done)
                    .with("open", open.count())
                    .info(LOG);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
