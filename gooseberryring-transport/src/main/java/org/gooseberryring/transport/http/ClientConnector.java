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
import org.xnio.XnioIoThread;

/** Opens connections and keeps a bounded number of idle ones for reuse on the same I/O thread. */
public final class ClientConnector {
    // Below the keep-alive time that servers commonly use, so that a reused connection is rarely half closed.
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(15);

    private final HttpWorker worker;
    private final int maxIdlePerThread;
    private final Map<Key, ConcurrentLinkedDeque<Idle>> idle = new ConcurrentHashMap<>();
    private final Map<XnioIoThread, AllowanceThread> openers = new ConcurrentHashMap<>();

    /**
     * Creates a connector.
     *
     * @param worker I/O threads and buffers
     * @param maxIdlePerThread idle connections kept for each address and I/O thread
     */
    public ClientConnector(HttpWorker worker, int maxIdlePerThread) {
        this.worker = worker;
        this.maxIdlePerThread = maxIdlePerThread;
    }

    /**
     * Hands an open connection to the callback, on the given I/O thread.
     *
     * @param thread I/O thread that the connection belongs to
     * @param authority address as {@code ip:port}
     * @param fresh true if an idle connection must not be reused, because a request on it could be lost
     * @param callback takes the connection, or null and the failure
     */
    public void acquire(
            XnioIoThread thread, String authority, boolean fresh, BiConsumer<ClientConnection, IOException> callback) {
        ClientConnection reused = fresh ? null : takeIdle(new Key(thread, authority));
        if (reused != null) {
            ReadAllowance.of(reused).allow(ReadAllowance.HEAD_BYTES);
            callback.accept(reused, null);
            return;
        }
        AllowanceThread opener = openers.computeIfAbsent(thread, AllowanceThread::new);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                opener.newest().attachTo(connection);
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
                        OptionMap.EMPTY);
    }

    /** Keeps a connection whose exchange has ended for reuse, or closes it if enough are idle. */
    public void release(String authority, ClientConnection connection) {
        ConcurrentLinkedDeque<Idle> queue =
                idle.computeIfAbsent(new Key(connection.getIoThread(), authority), k -> new ConcurrentLinkedDeque<>());
        if (!connection.isOpen() || queue.size() >= maxIdlePerThread) {
            IoUtils.safeClose(connection);
            return;
        }
        queue.addFirst(new Idle(connection, System.nanoTime()));
    }

    private ClientConnection takeIdle(Key key) {
        ConcurrentLinkedDeque<Idle> queue = idle.get(key);
        Idle next = queue == null ? null : queue.pollFirst();
        while (next != null) {
            boolean young = System.nanoTime() - next.since < MAX_IDLE_NANOS;
            if (young && next.connection.isOpen()) {
                return next.connection;
            }
            IoUtils.safeClose(next.connection);
            next = queue.pollFirst();
        }
        return null;
    }

    private record Key(XnioIoThread thread, String authority) {}

    private record Idle(ClientConnection connection, long since) {}
}
