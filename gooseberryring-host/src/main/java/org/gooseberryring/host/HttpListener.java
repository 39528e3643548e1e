package org.gooseberryring.host;

import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.HttpContinueReadHandler;
import org.gooseberryring.transport.http.HttpWorker;
import org.xnio.Options;

/** HTTP server that listens on one address. */
final class HttpListener implements AutoCloseable {
    // Longer than the idle time-out of load balancers, so that the load balancer closes idle connections first.
    private static final int KEEP_ALIVE_TIMEOUT_MILLIS = 75_000;
    private static final int HEAD_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_HEADERS = 64;
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    /** The handlers limit bodies; a limit of the server closes the connection without a response. */
    private static final long UNLIMITED = -1;

    private final Undertow server;
    private final InetSocketAddress address;

    private HttpListener(Undertow server) {
        this.server = server;
        server.start();
        this.address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    static HttpListener start(HttpWorker worker, InetSocketAddress address, int maxConnections, HttpHandler handler) {
        return new HttpListener(Undertow.builder()
                .setWorker(worker.xnio())
                .setByteBufferPool(worker.buffers())
                .addHttpListener(address.getPort(), address.getAddress().getHostAddress())
                .setSocketOption(Options.CONNECTION_HIGH_WATER, maxConnections)
                .setSocketOption(Options.CONNECTION_LOW_WATER, maxConnections)
                .setSocketOption(Options.REUSE_ADDRESSES, true)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, KEEP_ALIVE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                // Sends 100 Continue for Expect: 100-continue when the handler begins to read the body.
                .setHandler(new HttpContinueReadHandler(handler))
                .build());
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        server.stop();
    }
}
