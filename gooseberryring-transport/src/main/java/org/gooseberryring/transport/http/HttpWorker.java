package org.gooseberryring.transport.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** I/O threads, buffers and the budget of buffered bytes that the HTTP servers and clients of one process share. */
public final class HttpWorker implements AutoCloseable {
    // Undertow recommends 16 KiB minus its header space, so that one socket write empties a buffer.
    private static final int BUFFER_BYTES = 16 * 1024 - 20;
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 5;

    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final BufferBudget budget;

    private HttpWorker(XnioWorker worker, BufferBudget budget) {
        this.worker = worker;
        this.budget = budget;
        this.buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    }

    /**
     * Starts a worker whose connections may buffer a fixed part of the heap.
     *
     * @param name prefix of the thread names
     * @param ioThreads threads that read and write sockets
     * @param taskThreads threads that run blocking handlers
     */
    public static HttpWorker start(String name, int ioThreads, int taskThreads) {
        return start(
                name,
                ioThreads,
                taskThreads,
                BufferBudget.ofHeap(Runtime.getRuntime().maxMemory()));
    }

    /** Starts a worker with a budget of the bytes that its connections buffer. */
    public static HttpWorker start(String name, int ioThreads, int taskThreads, BufferBudget budget) {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_NAME, name)
                .set(Options.WORKER_IO_THREADS, ioThreads)
                .set(Options.WORKER_TASK_CORE_THREADS, taskThreads)
                .set(Options.WORKER_TASK_MAX_THREADS, taskThreads)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        try {
            return new HttpWorker(Xnio.getInstance().createWorker(options), budget);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public XnioWorker xnio() {
        return worker;
    }

    /** Returns the threads that read and write sockets. */
    public List<XnioIoThread> ioThreads() {
        return IntStream.range(0, worker.getIoThreadCount())
                .mapToObj(worker::getIoThread)
                .toList();
    }

    public ByteBufferPool buffers() {
        return buffers;
    }

    /** Returns the budget of the bytes that the connections buffer. */
    public BufferBudget budget() {
        return budget;
    }

    @Override
    public void close() {
        worker.shutdownNow();
        try {
            worker.awaitTermination(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        buffers.close();
    }
}
