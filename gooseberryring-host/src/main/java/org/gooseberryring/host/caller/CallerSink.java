package org.gooseberryring.host.caller;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
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
    private StreamSinkChannel channel;
    private String contentType = "";

    CallerSink(HttpServerExchange exchange, ResponseHeaderPolicy responseHeaderPolicy) {
        this.exchange = exchange;
        this.responseHeaderPolicy = responseHeaderPolicy;
    }

    @Override
    public void start(int status, HeaderMap headers, long contentLength) {
        if (channel != null) {
            // Another endpoint continues a stream whose head came from its first endpoint.
            return;
        }
        exchange.setStatusCode(status);
        if (headers.contains(Headers.CONTENT_TYPE)) {
            contentType = headers.getFirst(Headers.CONTENT_TYPE);
        }
        responseHeaderPolicy.copy(headers, exchange.getResponseHeaders());
        if (contentLength >= 0) {
            exchange.setResponseContentLength(contentLength);
        }
        channel = exchange.getResponseChannel();
    }

    /** Returns the media type of the response, empty if it has none. */
    String contentType() {
        return contentType;
    }

    @Override
    public int write(ByteBuffer bytes) throws IOException {
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
        exchange.endExchange();
    }

    @Override
    public void abort() {
        ServerConnection connection = exchange.getConnection();
        if (exchange.isHttp10() && connection instanceof HttpServerConnection http) {
            resetOnClose(http);
        }
        IoUtils.safeClose(connection);
        exchange.endExchange();
    }

    /** Makes the close a reset, because in HTTP/1.0 a normal close marks the end of a complete response. */
    private static void resetOnClose(HttpServerConnection connection) {
        try {
            connection.getChannel().setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            LogLine.event("reset-failed").with("reason", e.getMessage()).warn(LOG);
        }
    }
}
