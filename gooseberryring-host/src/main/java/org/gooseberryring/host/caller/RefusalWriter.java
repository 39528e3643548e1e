package org.gooseberryring.host.caller;

import io.undertow.server.HttpServerExchange;

/** Writes a refusal as the response to a caller. */
@FunctionalInterface
public interface RefusalWriter {
    /** Writes a refusal to an exchange whose response has not started, and ends the exchange. */
    void write(HttpServerExchange exchange, String requestId, Refusal refusal);
}
