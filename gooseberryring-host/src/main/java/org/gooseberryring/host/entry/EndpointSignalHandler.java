package org.gooseberryring.host.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.EndpointProcess;
import org.gooseberryring.transport.endpoint.EndpointSignals;
import org.jboss.logging.Logger;

/**
 * Takes what endpoints state of themselves in their answers: that they leave, or that they want no request of this host
 * for some time.
 *
 * <p>All methods may be called on any thread.
 */
final class EndpointSignalHandler {
    private static final Logger LOG = Logger.getLogger(EndpointSignalHandler.class);

    private final DeploymentView view;
    private final Consumer<EndpointProcess> leaving;
    private final BackOffReceiver backOffs;
    private final LongSupplier clock;
    private final Map<EndpointProcess, Long> backOffUntil = new ConcurrentHashMap<>();

    /** Takes the time up to which an endpoint wants no request. */
    @FunctionalInterface
    interface BackOffReceiver {
        void backOff(EndpointProcess process, long until);
    }

    /**
     * Creates news of no endpoint.
     *
     * @param leaving takes a process that leaves
     * @param clock monotonic milliseconds
     */
    EndpointSignalHandler(
            DeploymentView view, Consumer<EndpointProcess> leaving, BackOffReceiver backOffs, LongSupplier clock) {
        this.view = view;
        this.leaving = leaving;
        this.backOffs = backOffs;
        this.clock = clock;
    }

    /** Takes over what an answer of a process states. */
    void heard(EndpointProcess process, EndpointSignals signals) {
        if (signals.leaving() && !view.isLeaving(process)) {
            leaving.accept(process);
        }
        if (signals.backOffMillis() > 0) {
            backOff(process, signals.backOffMillis());
        }
    }

    /** Returns whether a process wants no request now. */
    boolean backsOff(EndpointProcess process, long now) {
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
        // A shorter time, as in the answer to a request that was under way, does not end a longer one.
        backOffs.backOff(process, backOffUntil.merge(process, now + millis, Math::max));
    }
}
