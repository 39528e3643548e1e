package org.gooseberryring.transport.http;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** Checks whether an address accepts connections, without sending anything. */
public final class ConnectionCheck {
    private final HttpWorker worker;

    /** Creates a check that uses the I/O threads of the worker. */
    public ConnectionCheck(HttpWorker worker) {
        this.worker = worker;
    }

    /**
     * Opens a connection and closes it at once.
     *
     * @param timeoutMillis time after which the connection counts as refused, in milliseconds
     * @return whether the connection opened; completes on an I/O thread
     */
    public CompletableFuture<Boolean> connect(InetSocketAddress address, long timeoutMillis) {
        XnioIoThread thread = worker.xnio().getIoThread();
        CompletableFuture<Boolean> connected = new CompletableFuture<>();
        IoFuture<StreamConnection> opening = thread.openStreamConnection(address, IoUtils::safeClose, OptionMap.EMPTY);
        opening.addNotifier((future, none) -> connected.complete(future.getStatus() == IoFuture.Status.DONE), null);
        IoTimeout.schedule(thread, timeoutMillis, () -> {
            opening.cancel();
            connected.complete(false);
        });
        return connected;
    }
}
