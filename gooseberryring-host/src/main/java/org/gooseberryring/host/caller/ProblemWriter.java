package org.gooseberryring.host.caller;

import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.Problem;
import org.gooseberryring.transport.endpoint.EndpointAttempt;

/** Writes refusals as problem documents. */
public final class ProblemWriter {
    private static final String MEDIA_TYPE = "application/problem+json";
    private static final String TYPE_PREFIX = "urn:gooseberryring:problem:";
    private static final long MILLIS_PER_SECOND = 1000;

    private ProblemWriter() {}

    /** Writes a refusal to an exchange whose response has not started, and ends the exchange. */
    public static void write(HttpServerExchange exchange, String requestId, Refusal refusal) {
        String code = refusal.code().wireName();
        Problem problem = new Problem(
                TYPE_PREFIX + code,
                code.replace('-', ' '),
                refusal.code().httpStatus(),
                code,
                refusal.verdict().wireName(),
                refusal.detail(),
                requestId);
        exchange.setStatusCode(refusal.code().httpStatus());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, MEDIA_TYPE);
        exchange.getResponseHeaders()
                .put(EndpointAttempt.VERDICT, refusal.verdict().wireName());
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        LingeringResponse.send(exchange, ByteBuffer.wrap(Json.write(problem)));
    }
}
