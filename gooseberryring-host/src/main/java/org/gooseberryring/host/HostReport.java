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

/** State of a host as its status page and its gauges show it. */
final class HostReport {
    private final HostSettings settings;
    private final long incarnation;
    private final CurrentConfiguration holder;
    private final Authenticator authenticator;
    private final OpenRequests open;
    private final HostClock clock;
    private final BooleanSupplier ready;
    private final Supplier<Map<String, Object>> details;

    HostReport(
            HostSettings settings,
            long incarnation,
            CurrentConfiguration holder,
            Authenticator authenticator,
            OpenRequests open,
            HostClock clock,
            BooleanSupplier ready,
            Supplier<Map<String, Object>> details) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.holder = holder;
        this.authenticator = authenticator;
        this.open = open;
        this.clock = clock;
        this.ready = ready;
        this.details = details;
    }

    void registerGauges(HostMetrics metrics, RequestLoop loop, ControlLoop control, StoreCallExecutor lanes) {
        metrics.gauge("configuration.revision", () -> holder.current().revision());
        metrics.gauge("configuration.fresh", () -> authenticator.isFresh() ? 1 : 0);
        metrics.gauge("requests.open", open::count);
        metrics.gauge("ring.requests.depth", loop::depth);
        metrics.gauge("ring.control.depth", control::depth);
        metrics.gauge("ring.store.depth", lanes::depth);
    }

    StatusDocument status() {
        long confirmedAt = holder.confirmedAt();
        return new StatusDocument(
                settings.hostId(),
                settings.failureDomain(),
                Long.toHexString(incarnation),
                ready.getAsBoolean(),
                open.isDraining(),
                holder.current().revision(),
                authenticator.isFresh(),
                confirmedAt == 0 ? -1 : clock.now() - confirmedAt,
                open.count(),
                new TreeMap<>(details.get()));
    }
}
