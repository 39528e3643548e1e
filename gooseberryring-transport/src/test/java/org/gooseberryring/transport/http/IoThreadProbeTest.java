package org.gooseberryring.transport.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioIoThread;

import static com.google.common.truth.Truth.assertThat;

class IoThreadProbeTest {
    private static final long HELD_MILLIS = 400;
    private static final long AWAIT_SECONDS = 10;

    private final HttpWorker worker = HttpWorker.start("probe-test", 1, 1);
    private final XnioIoThread thread = worker.xnio().getIoThread();
    private final AtomicReference<CountDownLatch> nextLook = new AtomicReference<>(new CountDownLatch(0));
    private final AtomicLong longestDelay = new AtomicLong();
    private final IoThreadProbe probe = IoThreadProbe.start(thread, IoThreadProbeTest::millis, this::onLooked);

    @AfterEach
    void close() {
        probe.close();
        worker.close();
    }

    /** Guards against a thread that counts as in time because it runs tasks, while no socket is looked at. */
    @Test
    void tasksInARowAreNoLooks() throws Exception {
        awaitLooks(2);
        AtomicLong wait = new AtomicLong();
        CountDownLatch done = new CountDownLatch(1);
        long end = millis() + HELD_MILLIS;
        thread.execute(() -> runUntil(end, now -> {
            wait.set(probe.waitMillis(now));
            done.countDown();
        }));
        assertThat(done.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(wait.get()).isAtLeast(HELD_MILLIS - 2 * SocketLooks.INTERVAL_MILLIS);
        awaitLooks(1);
        assertThat(longestDelay.get()).isAtLeast(HELD_MILLIS - 2 * SocketLooks.INTERVAL_MILLIS);
    }

    /** Guards against a wait that lasts after the thread has looked at its sockets again. */
    @Test
    void looksGoOnAfterTheThreadWasHeld() throws Exception {
        thread.execute(() -> runUntil(millis() + HELD_MILLIS, now -> {}));
        awaitLooks(3);
        assertThat(probe.waitMillis(millis())).isLessThan(HELD_MILLIS);
    }

    /** Runs one short task after the other, as a thread with much to do does. */
    private void runUntil(long end, LongConsumer last) {
        long now = millis();
        if (now >= end) {
            last.accept(now);
        } else {
            thread.execute(() -> runUntil(end, last));
        }
    }

    private void awaitLooks(int count) throws InterruptedException {
        CountDownLatch latch = new CountDownLatch(count);
        nextLook.set(latch);
        assertThat(latch.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    private void onLooked(long delayMillis, long now) {
        longestDelay.accumulateAndGet(delayMillis, Math::max);
        nextLook.get().countDown();
    }

    private static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
