package org.gooseberryring.host.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

/**
 * Task of a thread that runs once for all requests that arrive before it runs; thread-safe. A request is dropped if the
 * queue of the thread has no room for it.
 */
final class CoalescedTask {
    private final Predicate<LongConsumer> queue;
    private final LongConsumer task;
    private final AtomicBoolean scheduled = new AtomicBoolean();

    /**
     * Creates a task that is not scheduled.
     *
     * @param queue queues an action for the thread, which runs it with the monotonic time in milliseconds; returns false
     *     without room
     */
    CoalescedTask(Predicate<LongConsumer> queue, LongConsumer task) {
        this.queue = queue;
        this.task = task;
    }

    /** Requests a run that begins after this call. */
    void request() {
        if (scheduled.compareAndSet(false, true) && !queue.test(this::run)) {
            scheduled.set(false);
        }
    }

    private void run(long now) {
        scheduled.set(false);
        task.accept(now);
    }
}
