package org.gooseberryring.host.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.state.FleetConfiguration;
import org.jboss.logging.Logger;

/** Configuration in force on this host; the control thread publishes it, and any thread may read it. */
public final class CurrentConfiguration {
    private static final Logger LOG = Logger.getLogger(CurrentConfiguration.class);
    private static final long NEVER = 0;

    private final List<Consumer<FleetConfiguration>> listeners = new CopyOnWriteArrayList<>();
    private volatile FleetConfiguration current = FleetConfiguration.empty();
    private volatile long confirmedAt = NEVER;

    /** Adds a listener that is called with each newly adopted revision, on the thread that adopts it. */
    public void onAdopted(Consumer<FleetConfiguration> listener) {
        listeners.add(listener);
    }

    public FleetConfiguration current() {
        return current;
    }

    /** Adopts a configuration if its revision is higher than the current one. */
    public synchronized void adopt(FleetConfiguration next) {
        if (next.revision() <= current.revision()) {
            return;
        }
        current = next;
        LogLine.event("configuration-adopted").with("revision", next.revision()).info(LOG);
        listeners.forEach(listener -> listener.accept(next));
    }

    /** Sets the monotonic time in milliseconds at which the configuration was last confirmed. */
    public void setConfirmedAt(long confirmedAtMillis) {
        confirmedAt = Math.max(1, confirmedAtMillis);
    }

    /** Returns the monotonic time in milliseconds of the last confirmation, or 0 if there was none. */
    public long confirmedAt() {
        return confirmedAt;
    }
}
