package org.gooseberryring.host.entry;

import java.util.function.BooleanSupplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;

/** Responds whether a host can serve. */
record ReadinessHandler(BooleanSupplier ready) implements HttpHandler {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.setStatusCode(ready.getAsBoolean() ? OK : UNAVAILABLE);
        exchange.endExchange();
    }
}
