package org.gooseberryring.transport.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.xnio.ChannelPipe;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Observes when an I/O thread looks at its sockets, and so for how long bytes that it reads may have waited.
 *
 * <p>The thread runs all its tasks, also those that become due meanwhile, before it looks at its sockets again. Therefore
 * a task alone shows nothing: it makes a pipe ready, and only the event of the pipe counts as a look.
 */
public final class IoThreadProbe implements AutoCloseable {
    private final XnioIoThread thread;
    private final LongSupplier clock;
    private final DelayListener listener;
    private final ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe;
    private volatile SocketLooks looks;
    private volatile boolean closed;
    private long dueAt;
    private long askedAt;

    /** Receives the delay of each look, on the I/O thread. */
    @FunctionalInterface
    public interface DelayListener {
        /**
         * Called after a look.
         *
         * @param delayMillis milliseconds from the time at which the look was due
         * @param now monotonic milliseconds
         */
        void onLooked(long delayMillis, long now);
    }

    private IoThreadProbe(
            XnioIoThread thread,
            LongSupplier clock,
            DelayListener listener,
            ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe) {
        this.thread = thread;
        this.clock = clock;
        this.listener = listener;
        this.pipe = pipe;
        this.dueAt = clock.getAsLong();
        this.looks = SocketLooks.none(dueAt);
    }

    /**
     * Starts to observe a thread.
     *
     * @param clock monotonic milliseconds
     */
    public static IoThreadProbe start(XnioIoThread thread, LongSupplier clock, DelayListener listener) {
        try {
            IoThreadProbe probe = new IoThreadProbe(thread, clock, listener, thread.createHalfDuplexPipe());
            probe.pipe.getRightSide().getWriteSetter().set(sink -> probe.onLooked());
            thread.execute(probe::ask);
            return probe;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the observed thread. */
    public XnioIoThread thread() {
        return thread;
    }

    /** Returns for how many milliseconds bytes that the thread reads now may have waited, 0 if it is in time. */
    public long waitMillis(long now) {
        return looks.waitMillis(now);
    }

    @Override
    public void close() {
        closed = true;
        IoUtils.safeClose(pipe.getRightSide());
        IoUtils.safeClose(pipe.getLeftSide());
    }

    private void ask() {
        if (!closed) {
            askedAt = clock.getAsLong();
            pipe.getRightSide().resumeWrites();
        }
    }

    private void onLooked() {
        if (closed) {
            return;
        }
        pipe.getRightSide().suspendWrites();
        long now = clock.getAsLong();
        looks = looks.afterLook(askedAt);
        listener.onLooked(Math.max(0, now - dueAt), now);
        dueAt = now + SocketLooks.INTERVAL_MILLIS;
        thread.executeAfter(this::ask, SocketLooks.INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
