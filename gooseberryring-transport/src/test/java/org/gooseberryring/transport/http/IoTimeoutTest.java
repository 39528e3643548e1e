package org.gooseberryring.transport.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioIoThread;

import static com.google.common.truth.Truth.assertThat;

class IoTimeoutTest {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int MILLIS = 20;

    private final HttpWorker worker = HttpWorker.start("timeout-test", 1, 1);
    private final XnioIoThread thread = worker.xnio().getIoThread();

    @AfterEach
    void stop() {
        worker.close();
    }

    /** Guards against a time-out that comes although what was due in the same moment has cancelled it. */
    @Test
    void cancelledTimeoutDoesNotComeInTheSameMoment() throws Exception {
        AtomicReference<IoTimeout> cancelled = new AtomicReference<>();
        AtomicBoolean reached = new AtomicBoolean();
        CountDownLatch done = new CountDownLatch(1);
        thread.execute(() -> {
            IoTimeout.schedule(thread, MILLIS, () -> cancelled.get().remove());
            cancelled.set(IoTimeout.schedule(thread, MILLIS, () -> reached.set(true)));
            IoTimeout.schedule(thread, 10 * MILLIS, done::countDown);
        });
        assertThat(done.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(reached.get()).isFalse();
    }
}
