package org.gooseberryring.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server of a stand-in that can close every connection at once and listen again on the same port.
 *
 * <p>All servers of a process share one worker, so that a test can start many servers.
 */
public final class StandInServer implements AutoCloseable {
    /** Bodies of any size. */
    private static final OptionMap OPTIONS = OptionMap.create(UndertowOptions.MAX_ENTITY_SIZE, -1L);

    private static final String LOOPBACK = "127.0.0.1";
    private static final int IO_THREADS = 2;
    private static final int TASK_THREADS = 1;
    private static final int BACKLOG = 1024;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final XnioWorker WORKER = createWorker();
    private static final ByteBufferPool BUFFER_POOL = new DefaultByteBufferPool(true, BUFFER_BYTES);

    private final HttpHandler handler;
    private final Set<StreamConnection> connections = ConcurrentHashMap.newKeySet();
    private int port;
    private volatile AcceptingChannel<StreamConnection> channel;

    /**
     * Creates a server that does not listen until it is started.
     *
     * @param port port on the loopback address, or 0 for a free one
     */
    public StandInServer(int port, HttpHandler handler) {
        this.port = port;
        this.handler = handler;
    }

    /** Runs a task on an I/O thread after a delay in milliseconds; the task must not block. */
    static void runAfter(long millis, Runnable task) {
        WORKER.getIoThread().executeAfter(task, millis, TimeUnit.MILLISECONDS);
    }

    /** Starts listening. Does nothing if the server is already listening. */
    public synchronized void start() {
        if (channel != null) {
            return;
        }
        HttpOpenListener http = new HttpOpenListener(BUFFER_POOL, OPTIONS);
        http.setRootHandler(handler);
        OptionMap options = OptionMap.builder()
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.TCP_NODELAY, true)
                .set(Options.BACKLOG, BACKLOG)
                .getMap();
        try {
            channel = WORKER.createStreamConnectionServer(
                    new InetSocketAddress(LOOPBACK, port),
                    ChannelListeners.openListenerAdapter(connection -> accept(connection, http)),
                    options);
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen on " + LOOPBACK + ":" + port, e);
        }
        port = channel.getLocalAddress(InetSocketAddress.class).getPort();
        channel.resumeAccepts();
    }

    /** Stops listening and closes every connection, as a crash of the process does. */
    public synchronized void crash() {
        IoUtils.safeClose(channel);
        channel = null;
        connections.forEach(IoUtils::safeClose);
        connections.clear();
    }

    public boolean isListening() {
        return channel != null;
    }

    /** Returns the address as {@code ip:port}; a port of 0 is replaced by the actual one on start. */
    public String address() {
        return LOOPBACK + ":" + port;
    }

    @Override
    public void close() {
        crash();
    }

    private void accept(StreamConnection connection, HttpOpenListener http) {
        connections.add(connection);
        connection.getCloseSetter().set(connections::remove);
        if (channel == null) {
            IoUtils.safeClose(connection);
            return;
        }
        http.handleEvent(connection);
    }

    private static XnioWorker createWorker() {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, IO_THREADS)
                .set(Options.WORKER_TASK_CORE_THREADS, TASK_THREADS)
                .set(Options.WORKER_TASK_MAX_THREADS, TASK_THREADS)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, "stand-in")
                .getMap();
        try {
            return Xnio.getInstance().createWorker(options);
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot create the I/O worker of the stand-ins", e);
        }
    }
}
