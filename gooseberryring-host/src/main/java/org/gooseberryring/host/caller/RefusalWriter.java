package org.gooseberryring.host.caller;

import io.undertow.server.HttpServerExchange;

/** Answers a caller with a refusal. */
@FunctionalInterface
public interface RefusalWriter {
    /** Answers an exchange whose answer has not started with a refusal and ends it. */
    void write(HttpServerExchange exchange, String requestId, Refusal refusal);
}
