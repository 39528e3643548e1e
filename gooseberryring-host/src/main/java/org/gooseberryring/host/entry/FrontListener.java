package org.gooseberryring.host.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.ServerConnection;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.AttachmentKey;
import org.gooseberryring.state.RequestLimits;
import org.gooseberryring.transport.http.HttpWorker;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** HTTP server on one address. Its limits can be changed while it runs. */
final class FrontListener implements AutoCloseable {
    private static final int MAX_HEADERS = 128;
    private static final int BACKLOG = 512;

    /** The handlers limit bodies; a limit of the server closes the connection without a response. */
    private static final long UNLIMITED = -1;

    private static final AttachmentKey<Boolean> HAS_CLOSE_LISTENER = AttachmentKey.create(Boolean.class);

    private final HttpOpenListener listener;
    private final AcceptingChannel<? extends StreamConnection> server;
    private final Set<ServerConnection> idle = ConcurrentHashMap.newKeySet();
    private volatile boolean closing;

    /** Opens the listening socket and starts to accept connections. */
    FrontListener(
            HttpWorker worker,
            InetSocketAddress address,
            int maxConnections,
            RequestLimits limits,
            HttpHandler handler) {
        listener = new HttpOpenListener(worker.buffers(), options(limits));
        // Responds to Expect: 100-continue when the handler starts to read the body.
        listener.setRootHandler(new HttpContinueReadHandler(exchange -> {
            ServerConnection connection = exchange.getConnection();
            idle.remove(connection);
            if (closing) {
                exchange.setPersistent(false);
            }
            exchange.addExchangeCompleteListener((done, next) -> {
                next.proceed();
                markIdle(connection);
            });
            handler.handleRequest(exchange);
        }));
        OptionMap sockets = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                .set(Options.CONNECTION_LOW_WATER, maxConnections)
                .getMap();
        ChannelListener<AcceptingChannel<StreamConnection>> acceptor = ChannelListeners.openListenerAdapter(listener);
        try {
            server = worker.xnio().createStreamConnectionServer(address, acceptor, sockets);
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen on " + address, e);
        }
        server.resumeAccepts();
    }

    /** Returns the bound address, with the actual port. */
    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalAddress();
    }

    /** Sets the limits of connections that are opened from now on. */
    void limits(RequestLimits limits) {
        listener.setUndertowOptions(options(limits));
    }

    /** Announces in the response to each request from now on that its connection will be closed. */
    void announceClose() {
        closing = true;
    }

    /** Closes the idle connections, each on its I/O thread, which may just have taken its next request. */
    void closeIdle() {
        idle.forEach(connection -> connection.getIoThread().execute(() -> closeIfIdle(connection)));
    }

    @Override
    public void close() {
        IoUtils.safeClose(server);
        listener.closeConnections();
    }

    private void closeIfIdle(ServerConnection connection) {
        if (idle.remove(connection)) {
            IoUtils.safeClose(connection);
        }
    }

    private void markIdle(ServerConnection connection) {
        if (!connection.isOpen()) {
            return;
        }
        idle.add(connection);
        if (connection.putAttachment(HAS_CLOSE_LISTENER, true) == null) {
            connection.addCloseListener(idle::remove);
        }
    }

    private static OptionMap options(RequestLimits limits) {
        return OptionMap.builder()
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleMillis())
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headerMillis())
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.headerBytes())
                .set(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .set(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED)
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .getMap();
    }
}
