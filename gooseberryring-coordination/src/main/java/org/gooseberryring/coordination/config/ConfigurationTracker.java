package org.gooseberryring.coordination.config;

import org.gooseberryring.state.FleetConfiguration;

/**
 * Newest configuration that this host has received, and the time at which it was last confirmed to be current.
 *
 * <p>A confirmation comes from the store, or from a peer that confirmed the same revision with the store. It keeps the
 * time at which the store was read, so that peers cannot renew each other's confirmations during a store outage.
 */
public final class ConfigurationTracker {
    private static final long NEVER = Long.MIN_VALUE;

    private FleetConfiguration current = FleetConfiguration.empty();
    private long confirmedAt = NEVER;

    /** Returns the configuration in force on this host. */
    public FleetConfiguration current() {
        return current;
    }

    /** Returns the revision in force on this host. */
    public long revision() {
        return current.revision();
    }

    /**
     * Adopts a configuration if its revision is higher than the current one.
     *
     * @return whether it was adopted
     */
    public boolean adoptIfNewer(FleetConfiguration configuration) {
        if (configuration.revision() <= current.revision()) {
            return false;
        }
        current = configuration;
        return true;
    }

    /**
     * Records that a revision was the newest one in the store at the given time.
     *
     * @param revision revision that was confirmed; the call is ignored if it is higher than the current one
     * @param at monotonic time in milliseconds at which the store was read
     */
    public void confirm(long revision, long at) {
        if (revision <= current.revision() && at > confirmedAt) {
            confirmedAt = at;
        }
    }

    /** Returns whether a configuration was confirmed at least once. */
    public boolean hasConfirmation() {
        return confirmedAt != NEVER;
    }

    /**
     * Returns the time since the last confirmation in milliseconds, or {@code Long.MAX_VALUE} if there was none.
     *
     * @param now monotonic time in milliseconds
     */
    public long confirmationAgeMillis(long now) {
        return confirmedAt == NEVER ? Long.MAX_VALUE : Math.max(0, now - confirmedAt);
    }

    /**
     * Returns whether requests with a key must be rejected because the configuration may be out of date.
     *
     * @param now monotonic time in milliseconds
     * @param graceMillis longest permitted time since the last confirmation
     */
    public boolean isStale(long now, long graceMillis) {
        return confirmationAgeMillis(now) > graceMillis;
    }
}
