package org.gooseberryring.host;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.gooseberryring.host.admin.StatusDocument;
import org.gooseberryring.host.caller.Authenticator;
import org.gooseberryring.host.caller.OpenRequests;
import org.gooseberryring.host.config.CurrentConfiguration;
import org.gooseberryring.host.control.ControlLoop;
import org.gooseberryring.host.control.StoreCallExecutor;
import org.gooseberryring.host.engine.RequestLoop;
import org.gooseberryring.host.settings.HostSettings;

/** Reports the state of a host through its status document and its gauges. */
final class HostReport {
    private final HostSettings settings;
    private final long incarnation;
    private final CurrentConfiguration currentConfiguration;
    private final Authenticator authenticator;
    private final OpenRequests openRequests;
    private final HostClock clock;
    private final BooleanSupplier readiness;
    private final Supplier<Map<String, Object>> details;

    HostReport(
            HostSettings settings,
            long incarnation,
            CurrentConfiguration currentConfiguration,
            Authenticator authenticator,
            OpenRequests openRequests,
            HostClock clock,
            BooleanSupplier readiness,
            Supplier<Map<String, Object>> details) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.currentConfiguration = currentConfiguration;
        this.authenticator = authenticator;
        this.openRequests = openRequests;
        this.clock = clock;
        this.readiness = readiness;
        this.details = details;
    }

    void registerGauges(HostMetrics metrics, RequestLoop loop, ControlLoop control, StoreCallExecutor storeCalls) {
        metrics.gauge(
                "configuration.revision", () -> currentConfiguration.current().revision());
        metrics.gauge("configuration.fresh", () -> authenticator.isFresh() ? 1 : 0);
        metrics.gauge("requests.open", openRequests::count);
        metrics.gauge("ring.requests.depth", loop::depth);
        metrics.gauge("ring.control.depth", control::depth);
        metrics.gauge("ring.store.depth", storeCalls::depth);
    }

    StatusDocument status() {
        long confirmedAt = currentConfiguration.confirmedAt();
        return new StatusDocument(
                settings.hostId(),
                settings.failureDomain(),
                Long.toHexString(incarnation),
                readiness.getAsBoolean(),
                openRequests.isDraining(),
                currentConfiguration.current().revision(),
                authenticator.isFresh(),
                confirmedAt == 0 ? -1 : clock.now() - confirmedAt,
                openRequests.count(),
                new TreeMap<>(details.get()));
    }
}
