package org.gooseberryring.host.fleet;

import java.net.URI;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.protocol.LoadReport;
import org.gooseberryring.state.Endpoint;
import org.gooseberryring.state.EndpointKind;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.GooseberryringException;
import org.gooseberryring.transport.http.HttpCaller;
import org.gooseberryring.transport.http.HttpResult;
import org.jboss.logging.Logger;

/** Polls the model engines of one failure domain for load reports. */
public final class LoadPoller {
    private static final Logger LOG = Logger.getLogger(LoadPoller.class);
    private static final int OK = 200;
    private static final long CALL_TIMEOUT_MILLIS = 2000;
    private static final long MIN_INTERVAL_MILLIS = 250;
    // Limits the calls of one host to 250 per second; with 1,430 engines each report is renewed every 5.7 s.
    private static final long INTERVAL_MILLIS_PER_ENGINE = 4;

    private final String failureDomain;
    private final HttpCaller caller;
    private final BiConsumer<LoadReport, Long> listener;
    private final LongSupplier clock;
    private final Set<String> inFlight = ConcurrentHashMap.newKeySet();
    private final Map<String, LoadReport> reports = new ConcurrentHashMap<>();
    private final Set<String> polledEngines = ConcurrentHashMap.newKeySet();
    private volatile Set<String> engines = Set.of();
    private volatile long revision;
    private long nextPollAt;

    /**
     * Creates a poller.
     *
     * @param listener receives each report and the age of its figures in milliseconds, on an I/O thread
     * @param clock monotonic time in milliseconds
     */
    public LoadPoller(
            String failureDomain, HttpCaller caller, BiConsumer<LoadReport, Long> listener, LongSupplier clock) {
        this.failureDomain = failureDomain;
        this.caller = caller;
        this.listener = listener;
        this.clock = clock;
    }

    /** Returns the latest report of each engine by engine identifier. */
    public Map<String, LoadReport> reports() {
        return reports;
    }

    /** Returns whether each engine has responded, or failed to respond, at least once. */
    public boolean hasPolledAllEngines() {
        return revision > 0 && polledEngines.containsAll(engines);
    }

    /** Polls all engines if a poll is due or the configuration has changed; must be called from one thread. */
    public void tick(FleetConfiguration configuration, long now) {
        if (now < nextPollAt && configuration.revision() == revision) {
            return;
        }
        Set<String> present = new HashSet<>();
        for (Endpoint endpoint : configuration.endpoints().values()) {
            if (endpoint.kind() == EndpointKind.MODEL
                    && endpoint.failureDomain().equals(failureDomain)) {
                present.add(endpoint.id());
                poll(endpoint, now);
            }
        }
        engines = present;
        revision = configuration.revision();
        reports.keySet().retainAll(present);
        polledEngines.retainAll(present);
        nextPollAt = now + Math.max(MIN_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_ENGINE * present.size());
    }

    private void poll(Endpoint endpoint, long now) {
        if (!inFlight.add(endpoint.id())) {
            return;
        }
        URI uri = URI.create("http://" + endpoint.address() + "/v1/load");
        try {
            caller.callAsync("GET", uri, Map.of(), null, CALL_TIMEOUT_MILLIS)
                    .whenComplete((result, failure) -> onResponse(endpoint, now, result, failure));
        } catch (RejectedExecutionException e) {
            inFlight.remove(endpoint.id());
        }
    }

    private void onResponse(Endpoint endpoint, long requestedAt, HttpResult result, Throwable failure) {
        inFlight.remove(endpoint.id());
        if (failure != null || result.status() != OK) {
            polledEngines.add(endpoint.id());
            return;
        }
        try {
            LoadReport report = Json.read(result.body(), LoadReport.class);
            if (!endpoint.id().equals(report.endpoint())) {
                LogLine.event("load-report-of-another")
                        .with("endpoint", endpoint.id())
                        .with("reported", report.endpoint())
                        .warn(LOG);
                return;
            }
            reports.put(endpoint.id(), report);
            listener.accept(report, report.ageMillis() + clock.getAsLong() - requestedAt);
            polledEngines.add(endpoint.id());
        } catch (GooseberryringException e) {
            LogLine.event("load-report-unreadable")
                    .with("endpoint", endpoint.id())
                    .warn(LOG);
        }
    }
}
