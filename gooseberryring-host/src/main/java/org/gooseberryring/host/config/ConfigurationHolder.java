package org.gooseberryring.host.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.gooseberryring.host.log.LogLine;
import org.gooseberryring.protocol.ConfigurationDocument;
import org.gooseberryring.protocol.Json;
import org.gooseberryring.state.ChangeRecord;
import org.gooseberryring.state.FleetConfiguration;
import org.gooseberryring.state.GooseberryringException;
import org.jboss.logging.Logger;

/** Highest revision of the configuration that this host has seen. */
public final class ConfigurationHolder {
    private static final Logger LOG = Logger.getLogger(ConfigurationHolder.class);
    private static final long NEVER = 0;

    private final List<Consumer<FleetConfiguration>> listeners = new CopyOnWriteArrayList<>();
    private volatile Held held = new Held(FleetConfiguration.empty(), null, new byte[0]);
    private volatile long confirmedAt = NEVER;

    /** Calls the listener with every revision adopted from now on, on the thread that adopts it. */
    public void onAdopted(Consumer<FleetConfiguration> listener) {
        listeners.add(listener);
    }

    public FleetConfiguration current() {
        return held.configuration();
    }

    public ChangeRecord lastChange() {
        return held.lastChange();
    }

    /** Returns the document as it is in the store, empty before the first revision. */
    public byte[] document() {
        return held.document();
    }

    /**
     * Takes a document if its revision is higher than the present one.
     *
     * @return whether it was taken
     */
    public boolean adopt(byte[] document, String source) {
        ConfigurationDocument parsed;
        try {
            parsed = Json.read(document, ConfigurationDocument.class);
        } catch (GooseberryringException e) {
            LogLine.event("configuration-unreadable").with("source", source).warn(LOG);
            return false;
        }
        return parsed.configuration() != null && adopt(parsed, document, source);
    }

    /** Notes that the store, or a peer that can vouch for it, has nothing newer. */
    public void confirm(long now) {
        confirmedAt = Math.max(confirmedAt, now);
    }

    /** Returns the monotonic time in milliseconds of the last confirmation, 0 if there was none. */
    public long confirmedAt() {
        return confirmedAt;
    }

    private synchronized boolean adopt(ConfigurationDocument parsed, byte[] document, String source) {
        FleetConfiguration next = parsed.configuration();
        if (next.revision() <= held.configuration().revision()) {
            return false;
        }
        held = new Held(next, parsed.lastChange(), document);
        LogLine.event("configuration-adopted")
                .with("revision", next.revision())
                .with("source", source)
                .info(LOG);
        listeners.forEach(listener -> listener.accept(next));
        return true;
    }

    private record Held(FleetConfiguration configuration, ChangeRecord lastChange, byte[] document) {}
}
