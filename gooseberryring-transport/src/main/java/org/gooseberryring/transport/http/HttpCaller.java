package org.gooseberryring.transport.http;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.XnioIoThread;

/** HTTP client for short calls over pooled connections. */
public final class HttpCaller {
    private static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 16;

    /** Maximum size of a response in bytes; a value of the store is at most 1 MB, and a list contains several. */
    private static final int MAX_RESPONSE_BYTES = 16_000_000;

    private final HttpWorker worker;
    private final ClientConnector connector;
    private final int maxResponseBytes;

    /** Creates a caller that uses the I/O threads of the worker. */
    public HttpCaller(HttpWorker worker) {
        this(worker, new ClientConnector(worker, MAX_IDLE_CONNECTIONS_PER_ADDRESS), MAX_RESPONSE_BYTES);
    }

    private HttpCaller(HttpWorker worker, ClientConnector connector, int maxResponseBytes) {
        this.worker = worker;
        this.connector = connector;
        this.maxResponseBytes = maxResponseBytes;
    }

    /** Returns a caller over the same connections with the given maximum size of a response, in bytes. */
    public HttpCaller withMaxResponseBytes(int bytes) {
        return new HttpCaller(worker, connector, bytes);
    }

    /**
     * Makes a call and waits for its response. Must not be called on an I/O thread.
     *
     * @param method HTTP method
     * @param uri absolute URI with scheme {@code http}
     * @param headers headers besides Host and Content-Length
     * @param body body, or null
     * @param timeoutMillis time-out for the complete call, in milliseconds
     * @throws HttpCallException if no complete response arrives within the time-out
     */
    public HttpResult call(String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
        XnioIoThread thread = thread(uri);
        HttpCall call = prepare(method, uri, headers, body, false);
        CompletableFuture<HttpResult> future = call.start(thread);
        try {
            return future.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            call.fail(thread, "No response from " + uri.getAuthority() + " within " + timeoutMillis + " ms", e);
            return join(future);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            call.fail(thread, "Interrupted while calling " + uri.getAuthority(), e);
            throw new HttpCallException("Interrupted while calling " + uri.getAuthority(), true, e);
        } catch (ExecutionException e) {
            return join(future);
        }
    }

    /**
     * Makes a call without waiting; the future completes on an I/O thread.
     *
     * @param timeoutMillis time-out for the complete call, in milliseconds
     * @return future that fails with {@link HttpCallException}
     */
    public CompletableFuture<HttpResult> callAsync(
            String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
        return start(uri, prepare(method, uri, headers, body, false), timeoutMillis);
    }

    /**
     * Makes a call on a new connection that is closed afterwards, so that its response cannot be confused with a
     * delayed copy of another one; the future completes on an I/O thread.
     *
     * @param timeoutMillis time-out for the complete call, in milliseconds
     * @return future that fails with {@link HttpCallException}
     */
    public CompletableFuture<HttpResult> callOnNewConnection(
            String method, URI uri, Map<String, String> headers, byte[] body, long timeoutMillis) {
        return start(uri, prepare(method, uri, headers, body, true), timeoutMillis);
    }

    private CompletableFuture<HttpResult> start(URI uri, HttpCall call, long timeoutMillis) {
        XnioIoThread thread = thread(uri);
        CompletableFuture<HttpResult> future = call.start(thread);
        String message = "No response from " + uri.getAuthority() + " within " + timeoutMillis + " ms";
        IoTimeout timer = IoTimeout.schedule(thread, timeoutMillis, () -> call.fail(thread, message, null));
        return future.whenComplete((r, e) -> timer.remove());
    }

    private XnioIoThread thread(URI uri) {
        return worker.xnio().getIoThread(uri.getAuthority().hashCode());
    }

    private HttpCall prepare(String method, URI uri, Map<String, String> headers, byte[] body, boolean forceNew) {
        byte[] content = body == null ? new byte[0] : body;
        String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
        ClientRequest request =
                new ClientRequest().setMethod(new HttpString(method)).setPath(uri.getRawPath() + query);
        HeaderMap map = request.getRequestHeaders();
        headers.forEach((name, value) -> map.put(new HttpString(name), value));
        map.put(Headers.HOST, uri.getAuthority());
        map.put(Headers.CONTENT_LENGTH, content.length);
        return new HttpCall(worker, connector, uri.getAuthority(), request, content, forceNew, maxResponseBytes);
    }

    private static HttpResult join(CompletableFuture<HttpResult> future) {
        try {
            return future.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof HttpCallException failure) {
                throw failure;
            }
            throw new HttpCallException("HTTP call failed", true, e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HttpCallException("Interrupted during an HTTP call", true, e);
        }
    }
}
