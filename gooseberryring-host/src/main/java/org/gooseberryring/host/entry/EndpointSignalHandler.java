package org.gooseberryring.host.entry;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.coordination.ratelimit.RateLimit;
import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.transport.endpoint.BrittleStatement;
import org.gooseberryring.transport.endpoint.EndpointSignals;
import org.gooseberryring.transport.endpoint.RateStatement;
import org.jboss.logging.Logger;

/**
 * Handles the signals that endpoints put into their responses: that they are leaving, that this host must back off for
 * some time, or how many requests they take from all hosts.
 *
 * <p>Thread-safe.
 */
final class EndpointSignalHandler {
    private static final Logger LOG = Logger.getLogger(EndpointSignalHandler.class);

    private final DeploymentView view;
    private final Consumer<EndpointProcess> onLeaving;
    private final BackOffReceiver backOffs;
    private final RateReceiver rates;
    private final BrittleReceiver brittleReceiver;
    private final Set<EndpointProcess> brittle = ConcurrentHashMap.newKeySet();
    private final LongSupplier clock;
    private final Map<EndpointProcess, Long> backOffUntil = new ConcurrentHashMap<>();
    private final Map<EndpointProcess, RateLimit> limits = new ConcurrentHashMap<>();

    /** Receives the time until which no requests may be sent to an endpoint. */
    @FunctionalInterface
    interface BackOffReceiver {
        void backOff(EndpointProcess process, long until);
    }

    /** Receives statements of rate limits that differ from the known one; called on I/O threads. */
    interface RateReceiver {
        /** Called with a limit that a response states. */
        void onStated(EndpointProcess process, double requestsPerSecond);

        /** Called when a response states no limit, with the limit that was known when its request was sent. */
        void onNotStated(EndpointProcess process, RateLimit knownWhenSent);
    }

    /**
     * Creates a handler.
     *
     * @param onLeaving called with a process that is leaving
     * @param clock monotonic milliseconds
     */
    EndpointSignalHandler(
            DeploymentView view,
            Consumer<EndpointProcess> onLeaving,
            BackOffReceiver backOffs,
            RateReceiver rates,
            BrittleReceiver brittleReceiver,
            LongSupplier clock) {
        this.view = view;
        this.onLeaving = onLeaving;
        this.backOffs = backOffs;
        this.rates = rates;
        this.brittleReceiver = brittleReceiver;
        this.clock = clock;
    }

    /** Receives whether an endpoint fails when it must reject many requests; called on I/O threads. */
    @FunctionalInterface
    interface BrittleReceiver {
        void setBrittle(EndpointProcess process, boolean brittle);
    }

    /** Handles the signals in a response of a process, except that it states no limit. */
    void handle(EndpointProcess process, EndpointSignals signals) {
        if (signals.leaving() && !view.isLeaving(process)) {
            onLeaving.accept(process);
        }
        if (signals.backOffMillis() > 0) {
            backOff(process, signals.backOffMillis());
        }
        boolean limited = signals.rate().kind() == RateStatement.Kind.LIMITED;
        if (limited && limit(process).requestsPerSecond() != signals.rate().requestsPerSecond()) {
            rates.onStated(process, signals.rate().requestsPerSecond());
        }
    }

    /**
     * Handles the signals in a response of a process to a caller's request, which states a limit if there is one.
     *
     * @param knownWhenSent limit of the process when the request was sent
     */
    void handle(EndpointProcess process, EndpointSignals signals, RateLimit knownWhenSent) {
        handle(process, signals);
        boolean unlimited = signals.rate().kind() == RateStatement.Kind.UNLIMITED;
        if (unlimited && knownWhenSent.isLimited() && knownWhenSent.equals(limit(process))) {
            rates.onNotStated(process, knownWhenSent);
        }
        handle(process, signals.brittle());
    }

    private void handle(EndpointProcess process, BrittleStatement statement) {
        boolean isBrittle = statement == BrittleStatement.BRITTLE;
        boolean changed =
                statement != BrittleStatement.UNKNOWN && (isBrittle ? brittle.add(process) : brittle.remove(process));
        if (changed) {
            brittle.removeIf(each -> !each.equals(process) && !each.equals(view.process(each.endpoint())));
            LogLine.event("endpoint-brittle")
                    .with("endpoint", process.endpoint())
                    .with("brittle", isBrittle)
                    .info(LOG);
            brittleReceiver.setBrittle(process, isBrittle);
        }
    }

    /** Returns the rate limit of a process as far as it is known. */
    RateLimit limit(EndpointProcess process) {
        return limits.getOrDefault(process, RateLimit.NONE);
    }

    /** Sets the rate limit of a process. */
    void setLimit(EndpointProcess process, RateLimit limit) {
        if (limit.isLimited()) {
            limits.put(process, limit);
        } else {
            limits.remove(process);
        }
    }

    /** Returns whether no requests may be sent to a process now. */
    boolean isBackingOff(EndpointProcess process, long now) {
        Long until = backOffUntil.get(process);
        return until != null && now < until;
    }

    private void backOff(EndpointProcess process, long millis) {
        long now = clock.getAsLong();
        backOffUntil.values().removeIf(until -> until <= now);
        if (!backOffUntil.containsKey(process)) {
            LogLine.event("endpoint-back-off")
                    .with("endpoint", process.endpoint())
                    .with("ms", millis)
                    .info(LOG);
        }
        // A shorter back-off, as in the response to an earlier request, does not cut a longer one short.
        backOffs.backOff(process, backOffUntil.merge(process, now + millis, Math::max));
    }
}
