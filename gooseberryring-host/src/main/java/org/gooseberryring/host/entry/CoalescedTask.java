package org.gooseberryring.host.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** Task of a thread that runs once for all requests that arrive before it runs; thread-safe. */
final class CoalescedTask {
    private final Consumer<LongConsumer> queue;
    private final LongConsumer task;
    private final AtomicBoolean scheduled = new AtomicBoolean();

    /**
     * Creates a task that is not scheduled.
     *
     * @param queue queues an action for the thread, which runs it with the monotonic time in milliseconds
     */
    CoalescedTask(Consumer<LongConsumer> queue, LongConsumer task) {
        this.queue = queue;
        this.task = task;
    }

    /** Requests a run that begins after this call. */
    void request() {
        if (scheduled.compareAndSet(false, true)) {
            queue.accept(this::run);
        }
    }

    private void run(long now) {
        scheduled.set(false);
        task.accept(now);
    }
}
