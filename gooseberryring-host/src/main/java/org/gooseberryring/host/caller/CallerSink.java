package org.gooseberryring.host.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.gooseberryring.transport.endpoint.AnswerSink;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** Writes an answer to the connection of its caller. */
final class CallerSink implements AnswerSink {
    private static final List<HttpString> TO_CALLER = List.of(
            Headers.CONTENT_TYPE,
            Headers.CACHE_CONTROL,
            Headers.CONTENT_DISPOSITION,
            Headers.CONTENT_ENCODING,
            Headers.CONTENT_LANGUAGE,
            Headers.ETAG,
            Headers.LAST_MODIFIED,
            Headers.LOCATION,
            Headers.RETRY_AFTER);

    private final HttpServerExchange exchange;
    private StreamSinkChannel channel;
    private String contentType = "";

    CallerSink(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public void start(int status, HeaderMap headers, long contentLength) {
        exchange.setStatusCode(status);
        if (headers.contains(Headers.CONTENT_TYPE)) {
            contentType = headers.getFirst(Headers.CONTENT_TYPE);
        }
        for (HttpString name : TO_CALLER) {
            HeaderValues values = headers.get(name);
            if (values != null) {
                exchange.getResponseHeaders().putAll(name, values);
            }
        }
        if (contentLength >= 0) {
            exchange.setResponseContentLength(contentLength);
        }
        channel = exchange.getResponseChannel();
    }

    /** Returns the media type of the answer, empty if it has none. */
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
        IoUtils.safeClose(exchange.getConnection());
        exchange.endExchange();
    }
}
