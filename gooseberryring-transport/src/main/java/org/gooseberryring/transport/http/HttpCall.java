package org.gooseberryring.transport.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/** HTTP call in progress; all its steps run on one I/O thread. */
final class HttpCall {
    private final HttpWorker worker;
    private final ClientConnector connector;
    private final String authority;
    private final ClientRequest request;
    private final byte[] body;
    private final boolean forceNew;
    private final int maxResponseBytes;
    private final CompletableFuture<HttpResult> result = new CompletableFuture<>();
    private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
    private volatile boolean sent;
    private volatile boolean ended;
    private ClientConnection connection;
    private BodyWriter writer;
    private boolean reading;

    /** Creates a call; with {@code forceNew}, its connection is neither taken from idle ones nor kept for reuse. */
    HttpCall(
            HttpWorker worker,
            ClientConnector connector,
            String authority,
            ClientRequest request,
            byte[] body,
            boolean forceNew,
            int maxResponseBytes) {
        this.worker = worker;
        this.connector = connector;
        this.authority = authority;
        this.request = request;
        this.body = body;
        this.forceNew = forceNew;
        this.maxResponseBytes = maxResponseBytes;
    }

    CompletableFuture<HttpResult> start(XnioIoThread thread) {
        try {
            thread.execute(() -> connector.acquire(thread, authority, forceNew, this::onConnected));
        } catch (RejectedExecutionException e) {
            end("The I/O threads have stopped", e);
        }
        return result;
    }

    /** Fails the call and closes its connection, because a delayed response must not be read by another call. */
    void fail(XnioIoThread thread, String message, Throwable cause) {
        try {
            thread.execute(() -> end(message, cause));
        } catch (RejectedExecutionException e) {
            result.completeExceptionally(new HttpCallException("The I/O threads have stopped", sent, e));
        }
    }

    private void onConnected(ClientConnection opened, IOException failure) {
        if (failure != null) {
            end("Cannot connect to " + authority, failure);
            return;
        }
        if (ended) {
            connector.release(authority, opened);
            return;
        }
        connection = opened;
        sent = true;
        opened.sendRequest(request, callback(this::onRequestAccepted));
    }

    private void onRequestAccepted(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::onResponseHead));
        if (body.length > 0) {
            writer = new BodyWriter(body, e -> end("Connection to " + authority + " broke", e));
            writer.write(exchange.getRequestChannel());
        }
    }

    private void onResponseHead(ClientExchange exchange) {
        ReadAllowance.of(connection).allow(ReadAllowance.FRAMING_BYTES);
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set(c -> read(exchange, c));
        read(exchange, channel);
    }

    private void read(ClientExchange exchange, StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = worker.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count = read(channel, buffer);
            while (count > 0) {
                buffer.flip();
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                responseBody.writeBytes(bytes);
                buffer.clear();
                ReadAllowance.of(connection).allow(ReadAllowance.FRAMING_BYTES);
                if (responseBody.size() > maxResponseBytes) {
                    end("Response of " + authority + " exceeds " + maxResponseBytes + " bytes", null);
                    return;
                }
                count = read(channel, buffer);
            }
            if (count == 0) {
                channel.resumeReads();
            } else {
                complete(exchange);
            }
        } catch (IOException e) {
            end("Connection to " + authority + " broke", e);
        }
    }

    /** Reads into a buffer; the HTTP client reports the close of the connection within a read that reaches its end. */
    private int read(StreamSourceChannel channel, ByteBuffer buffer) throws IOException {
        reading = true;
        try {
            return channel.read(buffer);
        } finally {
            reading = false;
        }
    }

    private void complete(ClientExchange exchange) {
        if (ended) {
            return;
        }
        var response = exchange.getResponse();
        HeaderMap headers = response.getResponseHeaders();
        boolean written = writer == null || writer.done();
        boolean bodiless = ResponseFraming.isBodiless(request.getMethod().toString(), response.getResponseCode());
        if (!written && !bodiless && ResponseFraming.endsWithConnection(headers)) {
            end("Connection to " + authority + " was closed before the request was written", null);
            return;
        }
        ended = true;
        boolean close = "close".equalsIgnoreCase(headers.getFirst(Headers.CONNECTION));
        if (close || forceNew || !written) {
            ReadAllowance.closeSocket(connection);
        } else {
            connector.release(authority, connection);
        }
        result.complete(new HttpResult(response.getResponseCode(), headers, responseBody.toByteArray()));
    }

    private void end(String message, Throwable cause) {
        if (ended) {
            return;
        }
        ended = true;
        ReadAllowance.closeSocket(connection);
        result.completeExceptionally(new HttpCallException(message, sent, cause));
    }

    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                next.accept(exchange);
            }

            @Override
            public void failed(IOException e) {
                if (!reading) {
                    end("Connection to " + authority + " broke", e);
                }
            }
        };
    }
}
