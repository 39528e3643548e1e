package org.gooseberryring.transport.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections on an I/O thread and puts a {@link ReadAllowance} on each before anything is read from it.
 *
 * <p>It only hands everything on to the I/O thread and is never started itself: the HTTP client offers no other place
 * between a socket and its parser.
 */
final class AllowanceThread extends XnioIoThread {
    private final XnioIoThread actual;
    private ReadAllowance newest;

    AllowanceThread(XnioIoThread actual) {
        super(actual.getWorker(), actual.getNumber());
        this.actual = actual;
    }

    /** Returns the allowance of the connection whose opening is being reported; on the I/O thread. */
    ReadAllowance newest() {
        return newest;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> listener, OptionMap options) {
        return actual.openStreamConnection(
                destination,
                connection -> {
                    newest = ReadAllowance.on(connection);
                    listener.handleEvent(connection);
                },
                options);
    }

    @Override
    public void execute(Runnable task) {
        actual.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return actual.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return actual.executeAtInterval(task, time, unit);
    }
}
