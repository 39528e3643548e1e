package org.gooseberryring.host.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.transport.endpoint.ResponseSink;
import org.jboss.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;

/** Writes a response to the connection of its caller. */
final class CallerSink implements ResponseSink {
    private static final Logger LOG = Logger.getLogger(CallerSink.class);

    private final HttpServerExchange exchange;
    private final ResponseHeaderPolicy responseHeaderPolicy;
    private final ResponseProgress progress;
    private StreamSinkChannel channel;
    private String contentType = "";

    CallerSink(HttpServerExchange exchange, ResponseHeaderPolicy responseHeaderPolicy) {
        this.exchange = exchange;
        this.responseHeaderPolicy = responseHeaderPolicy;
        this.progress = ResponseProgress.attach(exchange);
    }

    ResponseProgress progress() {
        return progress;
    }

    @Override
    public void start(int status, HeaderMap headers, long contentLength) throws IOException {
        if (progress.state() == ResponseProgress.State.STARTED && !progress.isClosed()) {
            // Another endpoint continues a stream whose head came from its first endpoint.
            return;
        }
        if (!progress.tryStart()) {
            throw new ClosedChannelException();
        }
        exchange.setStatusCode(status);
        if (headers.contains(Headers.CONTENT_TYPE)) {
            contentType = headers.getFirst(Headers.CONTENT_TYPE);
        }
        responseHeaderPolicy.copy(headers, exchange.getResponseHeaders());
        if (contentLength >= 0) {
            exchange.setResponseContentLength(contentLength);
        } else if (exchange.isHttp10()) {
            // The end of the connection is the end of the body, so that any other end has to be a reset.
            setResetOnClose(true);
        } else {
            // Without chunks, which the server omits before it closes a connection, a broken body would look complete.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        }
        channel = exchange.getResponseChannel();
    }

    /** Returns the media type of the response, empty if it has none. */
    String contentType() {
        return contentType;
    }

    @Override
    public int write(ByteBuffer bytes) throws IOException {
        if (progress.isClosed()) {
            throw new ClosedChannelException();
        }
        return channel.write(bytes);
    }

    @Override
    public void flush() throws IOException {
        channel.flush();
    }

    @Override
    public void whenWritable(Runnable callback) {
        channel.getWriteSetter().set(c -> {
            c.suspendWrites();
            callback.run();
        });
        channel.resumeWrites();
    }

    @Override
    public void finish() {
        if (!progress.tryComplete()) {
            return;
        }
        if (exchange.isHttp10()) {
            setResetOnClose(false);
        }
        exchange.endExchange();
    }

    @Override
    public void abort() {
        if (!progress.tryCut()) {
            return;
        }
        if (exchange.isHttp10()) {
            setResetOnClose(true);
        }
        IoUtils.safeClose(exchange.getConnection());
        exchange.endExchange();
    }

    /** Sets whether a close of the connection, also by the end of the process, is a reset. */
    private void setResetOnClose(boolean reset) {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return;
        }
        try {
            connection.getChannel().setOption(Options.CLOSE_ABORT, reset);
        } catch (IOException e) {
            LogLine.event("reset-failed").with("reason", e.getMessage()).warn(LOG);
        }
    }
}
