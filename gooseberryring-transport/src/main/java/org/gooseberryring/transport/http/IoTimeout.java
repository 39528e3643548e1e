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

    private IoTimeout(XnioIoThread thread, long millis, Runnable task) {
        this.thread = thread;
        this.task = task;
        this.dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        this.key = thread.executeAfter(this::onDue, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Schedules a time-out.
     *
     * @param thread I/O thread of the connection, on which this must be called
     * @param millis time until the time-out, in milliseconds
     * @param task runs on the thread when the time has passed
     */
    public static IoTimeout schedule(XnioIoThread thread, long millis, Runnable task) {
        return new IoTimeout(thread, millis, task);
    }

    /** Cancels the time-out; must be called on its thread. */
    @Override
    public boolean remove() {
        return key.remove();
    }

    /** Returns the milliseconds by which a time-out is extended that is decided late. */
    static long extensionMillis(long lateMillis) {
        return lateMillis > PUNCTUAL_MILLIS ? lateMillis : 0;
    }

    private void onDue() {
        long extension = extensionMillis(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueNanos));
        if (extension == 0) {
            task.run();
            return;
        }
        key = thread.executeAfter(task, extension, TimeUnit.MILLISECONDS);
    }
}
