package org.gooseberryring.host.entry;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.gooseberryring.host.admin.PrometheusText;

/** Responds with the metrics of a host as text. */
record MetricsHandler(MetricRegistry registry) implements HttpHandler {
    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, PrometheusText.MEDIA_TYPE);
        exchange.getResponseSender().send(PrometheusText.render(registry));
    }
}
