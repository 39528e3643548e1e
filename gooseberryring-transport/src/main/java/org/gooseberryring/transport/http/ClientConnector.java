package org.gooseberryring.transport.http;

import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;

/** Opens connections and keeps a bounded number of idle ones for reuse on the same I/O thread. */
public final class ClientConnector {
    // Shorter than the usual keep-alive time of servers, so that a reused connection is rarely half-closed.
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Bytes of a request that count as written although its receiver may not have read them. */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    private static final OptionMap OPTIONS = OptionMap.create(Options.SEND_BUFFER, SEND_BUFFER_BYTES);

    private final HttpWorker worker;
    private final int maxIdlePerThread;
    private final Map<Key, ConcurrentLinkedDeque<IdleConnection>> idle = new ConcurrentHashMap<>();
    private final Map<XnioIoThread, AllowanceThread> openers = new ConcurrentHashMap<>();

    /**
     * Creates a connector.
     *
     * @param worker I/O threads and buffers
     * @param maxIdlePerThread maximum number of idle connections for each address and I/O thread
     */
    public ClientConnector(HttpWorker worker, int maxIdlePerThread) {
        this.worker = worker;
        this.maxIdlePerThread = maxIdlePerThread;
    }

    /**
     * Passes an open connection to the callback, on the given I/O thread.
     *
     * @param thread I/O thread that the connection belongs to
     * @param authority address as {@code ip:port}
     * @param forceNew true if an idle connection must not be reused, because a request on it could be lost
     * @param callback receives the connection, or null and the failure
     */
    public void acquire(
            XnioIoThread thread,
            String authority,
            boolean forceNew,
            BiConsumer<ClientConnection, IOException> callback) {
        ClientConnection reused = forceNew ? null : takeIdle(new Key(thread, authority));
        if (reused != null) {
            ReadAllowance.of(reused).startResponse();
            callback.accept(reused, null);
            return;
        }
        AllowanceThread opener = openers.computeIfAbsent(thread, AllowanceThread::new);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                opener.latestAllowance().attachTo(connection);
                                callback.accept(connection, null);
                            }

                            @Override
                            public void failed(IOException e) {
                                callback.accept(null, e);
                            }
                        },
                        URI.create("http://" + authority),
                        opener,
                        worker.buffers(),
                        OPTIONS);
    }

    /** Keeps a connection for reuse after its exchange has ended, or closes it if the maximum number are idle. */
    public void release(String authority, ClientConnection connection) {
        ConcurrentLinkedDeque<IdleConnection> idleConnections =
                idle.computeIfAbsent(new Key(connection.getIoThread(), authority), k -> new ConcurrentLinkedDeque<>());
        if (!connection.isOpen() || idleConnections.size() >= maxIdlePerThread) {
            IoUtils.safeClose(connection);
            return;
        }
        idleConnections.addFirst(new IdleConnection(connection, System.nanoTime()));
    }

    private ClientConnection takeIdle(Key key) {
        ConcurrentLinkedDeque<IdleConnection> idleConnections = idle.get(key);
        IdleConnection next = idleConnections == null ? null : idleConnections.pollFirst();
        while (next != null) {
            boolean reusable = System.nanoTime() - next.idleSinceNanos < MAX_IDLE_NANOS;
            if (reusable && next.connection.isOpen()) {
                return next.connection;
            }
            IoUtils.safeClose(next.connection);
            next = idleConnections.pollFirst();
        }
        return null;
    }

    private record Key(XnioIoThread thread, String authority) {}

    private record IdleConnection(ClientConnection connection, long idleSinceNanos) {}
}
