package org.gooseberryring.transport.http;

import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Time-out that an I/O thread decides on for one of its connections.
 *
 * <p>A thread that runs late handles its timers before the events that its sockets have had in the meantime. A time-out
 * that is decided late is therefore extended once, by as much as it was late, so that what came in time is handled first.
 */
public final class IoTimeout implements XnioExecutor.Key {
    /** Delay up to which a timer counts as punctual. */
    private static final long PUNCTUAL_MILLIS = 10;

    private final XnioIoThread thread;
    private final Runnable task;
    private final long dueNanos;
    private XnioExecutor.Key key;
    private boolean removed;

    private IoTimeout(XnioIoThread thread, Runnable task, long dueNanos) {
        this.thread = thread;
        this.task = task;
        this.dueNanos = dueNanos;
    }

    /**
     * Schedules a time-out; may be called on any thread.
     *
     * @param thread I/O thread of the connection
     * @param millis time until the time-out, in milliseconds
     * @param task runs on the I/O thread when the time has passed
     */
    public static IoTimeout schedule(XnioIoThread thread, long millis, Runnable task) {
        long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        IoTimeout timeout = new IoTimeout(thread, task, due);
        timeout.executeAfter(millis, timeout::onDue);
        return timeout;
    }

    /** Cancels the time-out; may be called on any thread. */
    @Override
    public synchronized boolean remove() {
        removed = true;
        return key.remove();
    }

    /** Returns the milliseconds by which a time-out is extended that is decided late. */
    static long extensionMillis(long lateMillis) {
        return lateMillis > PUNCTUAL_MILLIS ? lateMillis : 0;
    }

    private synchronized void executeAfter(long millis, Runnable step) {
        if (!removed) {
            key = thread.executeAfter(step, millis, TimeUnit.MILLISECONDS);
        }
    }

    private void onDue() {
        long extension = extensionMillis(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueNanos));
        if (extension > 0) {
            executeAfter(extension, this::runUnlessRemoved);
        } else {
            runUnlessRemoved();
        }
    }

    private void runUnlessRemoved() {
        // The thread queues all timers that are due at once; the removal of a queued one does not keep it from running.
        if (!isRemoved()) {
            task.run();
        }
    }

    private synchronized boolean isRemoved() {
        return removed;
    }
}
