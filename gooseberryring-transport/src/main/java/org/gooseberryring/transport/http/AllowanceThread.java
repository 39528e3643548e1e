package org.gooseberryring.transport.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections on an I/O thread and installs a {@link ReadAllowance} on each before anything is read from it.
 *
 * <p>It delegates everything to the I/O thread and is never started itself: the HTTP client has no other extension
 * point between a socket and its parser.
 */
final class AllowanceThread extends XnioIoThread {
    private final XnioIoThread delegate;
    private ReadAllowance latestAllowance;

    AllowanceThread(XnioIoThread delegate) {
        super(delegate.getWorker(), delegate.getNumber());
        this.delegate = delegate;
    }

    /** Returns the allowance of the connection that was opened last; called on the I/O thread in its open callback. */
    ReadAllowance latestAllowance() {
        return latestAllowance;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> listener, OptionMap options) {
        return delegate.openStreamConnection(
                destination,
                connection -> {
                    latestAllowance = ReadAllowance.on(connection);
                    listener.handleEvent(connection);
                },
                options);
    }

    @Override
    public void execute(Runnable task) {
        delegate.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return delegate.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return delegate.executeAtInterval(task, time, unit);
    }
}
