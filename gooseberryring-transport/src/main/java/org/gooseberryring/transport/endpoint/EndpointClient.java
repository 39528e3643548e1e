package org.gooseberryring.transport.endpoint;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.gooseberryring.transport.http.ClientConnector;
import org.gooseberryring.transport.http.HttpWorker;
import org.xnio.XnioIoThread;

/** Sends requests to endpoints and copies their responses to sinks on the I/O thread. */
public final class EndpointClient {
    private static final int MAX_IDLE_CONNECTIONS_PER_THREAD = 32;

    /**
     * Bytes of the heap for each byte that incomplete events may have together; a buffer is up to twice as large as the
     * event in it.
     */
    private static final int HEAP_BYTES_PER_EVENT_BYTE = 32;

    private final HttpWorker worker;
    private final ClientConnector connector;
    private final EndpointLimits limits;
    private final EndpointProtocol protocol;
    private final EventMemory eventMemory =
            new EventMemory(Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_EVENT_BYTE);
    private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

    /** Creates a client that uses {@link ModelEngineProtocol}. */
    public EndpointClient(HttpWorker worker, EndpointLimits limits) {
        this(worker, limits, new ModelEngineProtocol());
    }

    /** Creates a client that uses the I/O threads and buffers of the worker and the given protocol. */
    public EndpointClient(HttpWorker worker, EndpointLimits limits, EndpointProtocol protocol) {
        this.worker = worker;
        this.limits = limits;
        this.protocol = protocol;
        this.connector = new ClientConnector(worker, MAX_IDLE_CONNECTIONS_PER_THREAD);
    }

    /**
     * Sends a request.
     *
     * @param address address as {@code ip:port}
     * @param call request to send
     * @param thread I/O thread of the sink, on which the complete attempt runs
     * @param sink receives the response
     * @param listener is notified of the progress
     */
    public EndpointAttempt send(
            String address, EndpointCall call, XnioIoThread thread, ResponseSink sink, AttemptListener listener) {
        return send(address, call, thread, sink, listener, () -> true);
    }

    /**
     * Sends a request unless it may no longer start by the time its connection is open.
     *
     * @param mayStart checked on the I/O thread immediately before the write; if false, the attempt ends as not run
     */
    public EndpointAttempt send(
            String address,
            EndpointCall call,
            XnioIoThread thread,
            ResponseSink sink,
            AttemptListener listener,
            BooleanSupplier mayStart) {
        EndpointAttempt attempt = new EndpointAttempt(this, address, call, thread, sink, listener, mayStart);
        thread.execute(attempt::begin);
        return attempt;
    }

    HttpWorker worker() {
        return worker;
    }

    ClientConnector connector() {
        return connector;
    }

    EndpointLimits limits() {
        return limits;
    }

    EndpointProtocol protocol() {
        return protocol;
    }

    EventMemory eventMemory() {
        return eventMemory;
    }

    boolean acquireSlot(String address) {
        AtomicInteger count = inFlight.computeIfAbsent(address, a -> new AtomicInteger());
        if (count.incrementAndGet() <= limits.maxConnections()) {
            return true;
        }
        count.decrementAndGet();
        return false;
    }

    void releaseSlot(String address) {
        inFlight.get(address).decrementAndGet();
    }
}
