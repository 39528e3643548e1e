package org.gooseberryring.host.entry;

import java.util.Locale;
import java.util.function.Consumer;

import org.gooseberryring.coordination.direct.LimitedRequest;
import org.gooseberryring.host.HostMetrics;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/** Logs and counts the requests that the rate limit of an endpoint held back, sent elsewhere or rejected. */
final class LimitedRequestLog implements Consumer<LimitedRequest> {
    private static final Logger LOG = Logger.getLogger(LimitedRequestLog.class);

    private final HostMetrics metrics;

    LimitedRequestLog(HostMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void accept(LimitedRequest limited) {
        String action = limited.action().name().toLowerCase(Locale.ROOT).replace('_', '-');
        metrics.counter("endpoint.limit." + action).inc();
        LogLine.event("request-limited")
                .with("requestId", limited.requestId())
                .with("endpoint", limited.endpoint())
                .with("action", action)
                .with("waitMs", limited.waitMillis())
                .debug(LOG);
    }
}
