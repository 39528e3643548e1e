package org.gooseberryring.transport.endpoint;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.gooseberryring.coordination.request.AttemptOutcome;
import org.gooseberryring.state.Verdict;
import org.gooseberryring.transport.http.BodyWriter;
import org.gooseberryring.transport.http.IoTimeout;
import org.gooseberryring.transport.http.ReadAllowance;
import org.gooseberryring.transport.http.ResponseFault;
import org.jboss.logging.Logger;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** One attempt to send a request to an endpoint; all its steps run on one I/O thread. */
public final class EndpointAttempt {
    /** Header that carries the request id in both directions. */
    public static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

    /** Header that contains a relay's verdict on a request that the relay rejects. */
    public static final HttpString VERDICT = new HttpString("X-Request-Verdict");

    private static final Logger LOG = Logger.getLogger(EndpointAttempt.class);

    private final EndpointClient client;
    private final String address;
    private final EndpointCall call;
    private final XnioIoThread thread;
    private final ResponseSink sink;
    private final AttemptListener listener;
    private final BooleanSupplier mayStart;
    private final long startedNanos = System.nanoTime();

    private boolean slotAcquired;
    private boolean sent;
    private boolean ended;
    private int status;
    private long firstTokenMillis = -1;
    private long lastActivityNanos = startedNanos;
    private ClientConnection connection;
    private BodyWriter writer;
    private ResponseCopier copier;
    private XnioExecutor.Key timer;

    EndpointAttempt(
            EndpointClient client,
            String address,
            EndpointCall call,
            XnioIoThread thread,
            ResponseSink sink,
            AttemptListener listener,
            BooleanSupplier mayStart) {
        this.client = client;
        this.address = address;
        this.call = call;
        this.thread = thread;
        this.sink = sink;
        this.listener = listener;
        this.mayStart = mayStart;
    }

    /** Cancels the attempt and closes its connection; may be called on any thread. */
    public void cancel() {
        thread.execute(this::cancelNow);
    }

    /** Cancels the attempt before its next step; must be called on its I/O thread, outside of its own steps. */
    public void cancelNow() {
        end(unfinishedVerdict(), false, null);
    }

    /** Returns whether its response has started at the sink; must be called on its I/O thread. */
    public boolean hasStarted() {
        return copier != null && copier.isStarted();
    }

    void begin() {
        if (ended) {
            return;
        }
        if (call.events() != null) {
            call.events().startAttempt(address);
        }
        slotAcquired = client.acquireSlot(address);
        if (!slotAcquired) {
            end(Verdict.NOT_RUN, false, null);
            return;
        }
        timer = schedule(client.limits().connectMillis(), () -> end(unfinishedVerdict(), true, null));
        client.connector().acquire(thread, address, !client.protocol().mayReuse(call), this::onConnected);
    }

    private void onConnected(ClientConnection opened, IOException failure) {
        if (failure != null) {
            end(Verdict.NOT_RUN, true, null);
            return;
        }
        if (ended) {
            releaseOrClose(opened);
            return;
        }
        boolean startable = mayStart.getAsBoolean();
        long leftMillis = call.deadline().leftMillis(call.deadline().clock().getAsLong());
        if (!startable || leftMillis <= 0) {
            releaseOrClose(opened);
            end(Verdict.NOT_RUN, false, null);
            return;
        }
        ClientRequest request = request(leftMillis);
        if (request == null) {
            LOG.warnf("event=request-not-written reason=malformed-head address=%s", address);
            releaseOrClose(opened);
            end(Verdict.NOT_RUN, false, null);
            return;
        }
        connection = opened;
        restartTimer(client.limits().firstByteMillis());
        sent = true;
        opened.sendRequest(request, callback(this::onRequestAccepted));
    }

    /** Releases a connection without a request in progress for reuse, or closes it if it cannot be reused. */
    private void releaseOrClose(ClientConnection unused) {
        if (client.protocol().keepsConnections()) {
            client.connector().release(address, unused);
        } else {
            ReadAllowance.closeSocket(unused);
        }
    }

    /**
     * Returns the request as it is written now, null if it cannot be written such that its receiver reads this one.
     *
     * @param leftMillis milliseconds to the deadline
     */
    private ClientRequest request(long leftMillis) {
        if (!RequestGrammar.isRequestLine(call.method(), call.path())) {
            return null;
        }
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
        HeaderMap headers = request.getRequestHeaders();
        call.headers().forEach(h -> headers.putAll(h.getHeaderName(), h));
        headers.put(Headers.HOST, client.protocol().host(call, address));
        headers.put(Headers.CONTENT_LENGTH, call.body().length);
        headers.put(client.protocol().requestIdHeader(), call.requestId());
        call.deadline().statement().addTo(headers, leftMillis);
        return RequestGrammar.areHeaders(headers) ? request : null;
    }

    private void onRequestAccepted(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::onResponseHead));
        if (call.body().length > 0) {
            writer = new BodyWriter(call.body(), e -> fail());
            writer.write(exchange.getRequestChannel());
        }
    }

    private void onResponseHead(ClientExchange exchange) {
        if (ended) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        HeaderMap headers = response.getResponseHeaders();
        status = response.getResponseCode();
        if (!client.protocol().belongsTo(call, status, headers)) {
            LOG.warnf(
                    "event=answer-dropped reason=wrong-request-id requestId=%s address=%s", call.requestId(), address);
            end(Verdict.MAY_HAVE_RUN, false, null);
            return;
        }
        if (client.protocol().isStatedByRelay(headers)) {
            listener.onRejectedByRelay();
        }
        EndpointSignals signals = client.protocol().signals(status, headers);
        if (!signals.equals(EndpointSignals.NONE)) {
            listener.onSignalsReceived(signals);
        }
        Verdict refusal = client.protocol().refusal(call, status, headers);
        if (refusal != null) {
            end(refusal, false, null);
            return;
        }
        if (client.protocol().isUnexpected(call, status, headers)) {
            LOG.warnf(
                    "event=answer-dropped reason=unexpected-head requestId=%s address=%s status=%d type=%s encoding=%s",
                    call.requestId(),
                    address,
                    status,
                    headers.getFirst(Headers.CONTENT_TYPE),
                    headers.getFirst(Headers.CONTENT_ENCODING));
            failFaulty();
            return;
        }
        copier = new ResponseCopier(this, call, client, exchange, sink, ReadAllowance.of(connection));
        copier.start();
    }

    /** Records that bytes were transferred, which restarts the idle timeout. */
    void recordActivity() {
        lastActivityNanos = System.nanoTime();
        if (firstTokenMillis < 0) {
            firstTokenMillis = TimeUnit.NANOSECONDS.toMillis(lastActivityNanos - startedNanos);
            restartTimer(client.limits().idleMillis());
        }
    }

    /** Notifies the listener that the response to the caller has been started. */
    void onResponseOpened() {
        listener.onResponseStarted();
    }

    /** Ends an attempt whose complete response has arrived. */
    void complete(boolean reusable, byte[] recorded) {
        ClientConnection used = connection;
        connection = null;
        // Ends the attempt first, since the HTTP client reports the close of a connection that it has not read to the
        // end.
        end(Verdict.COMPLETED, false, recorded);
        if (reusable && isRequestWritten()) {
            releaseOrClose(used);
        } else {
            ReadAllowance.closeSocket(used);
        }
    }

    /** Returns whether the complete request was passed to the operating system. */
    boolean isRequestWritten() {
        return writer == null || writer.done();
    }

    /** Ends an attempt whose connection broke or whose response is incomplete. */
    void fail() {
        ResponseFault fault =
                connection == null ? null : ReadAllowance.of(connection).fault();
        if (fault != null) {
            LOG.warnf(
                    "event=answer-dropped reason=%s requestId=%s address=%s",
                    fault.logName(), call.requestId(), address);
            failFaulty();
            return;
        }
        end(unfinishedVerdict(), true, null);
    }

    /** Ends an attempt whose response exceeds the largest size that a response to its request can have. */
    void failOversized(String reason) {
        LOG.warnf("event=answer-without-end reason=%s requestId=%s address=%s", reason, call.requestId(), address);
        failFaulty();
    }

    /** Ends an attempt whose response has bytes in the place of an event that are none. */
    void failMalformed() {
        EventTrace trace = call.events().trace();
        LOG.warnf(
                "event=answer-dropped reason=malformed-event requestId=%s address=%s fault=%s events=%d lastEvent=%d",
                call.requestId(), address, trace.fault().logName(), trace.passedOn(), trace.lastId());
        failFaulty();
    }

    /** Ends an attempt whose stream goes on after its final event. */
    void failContinued() {
        LOG.warnf(
                "event=answer-dropped reason=bytes-after-final-event requestId=%s address=%s",
                call.requestId(), address);
        failFaulty();
    }

    /** Ends an attempt whose endpoint sends what no sound one does; its connection did not break, so it is not lost. */
    private void failFaulty() {
        end(unfinishedVerdict(), false, null);
    }

    /** Schedules a step to run after the pending work of other connections on the I/O thread. */
    void runLater(Runnable step) {
        thread.execute(step);
    }

    /** Ends an attempt whose receiver has disconnected. */
    void onReceiverGone() {
        end(unfinishedVerdict(), false, null);
    }

    private Verdict unfinishedVerdict() {
        return sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
    }

    private void end(Verdict verdict, boolean endpointLost, byte[] recorded) {
        if (ended) {
            return;
        }
        ended = true;
        if (timer != null) {
            timer.remove();
        }
        if (slotAcquired) {
            client.releaseSlot(address);
        }
        ReadAllowance.closeSocket(connection);
        boolean bytesReachedCaller = copier != null && copier.isStarted();
        boolean mayContinue = mayContinue();
        if (copier != null) {
            copier.close();
        }
        long usedTokens = copier == null ? 0 : copier.usedTokens();
        listener.onAttemptEnded(
                new AttemptOutcome(
                        verdict,
                        status,
                        usedTokens,
                        bytesReachedCaller,
                        endpointLost,
                        firstTokenMillis,
                        sent,
                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos)),
                recorded);
        if (verdict != Verdict.COMPLETED && bytesReachedCaller && !mayContinue) {
            sink.abort();
        }
    }

    /** Returns whether another endpoint may continue the response, so that only the receiver of the outcome may abort it. */
    private boolean mayContinue() {
        boolean isResumable = call.events() != null && call.events().isResumable();
        return isResumable && (copier == null || !copier.hasUnwrittenBytes());
    }

    private void restartTimer(long millis) {
        timer.remove();
        timer = schedule(millis, () -> checkIdle(millis));
    }

    private void checkIdle(long millis) {
        long idle = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastActivityNanos);
        boolean awaitingFirstByte = firstTokenMillis < 0;
        if (awaitingFirstByte || idle >= millis) {
            // A slow response does not indicate a failure of other requests, so the endpoint does not count as lost.
            end(unfinishedVerdict(), false, null);
            return;
        }
        timer = schedule(millis - idle, () -> checkIdle(millis));
    }

    private XnioExecutor.Key schedule(long millis, Runnable task) {
        return IoTimeout.schedule(thread, millis, task);
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                next.accept(exchange);
            }

            @Override
            public void failed(IOException e) {
                if (copier == null || !copier.isReading()) {
                    fail();
                }
            }
        };
    }
}
