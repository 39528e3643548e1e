package org.gooseberryring.coordination.config;

import org.gooseberryring.state.FleetConfiguration;

/**
 * Highest configuration that this host has seen, and when it was last confirmed to be the newest.
 *
 * <p>A confirmation comes from the store, or from a peer that confirmed the same revision with the store. The time of
 * the confirmation at its source counts, so that peers cannot keep each other confirmed while the store is away.
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
     * Adopts a configuration if its revision is higher than the present one.
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
     * Records that a revision was the newest in the store at a time.
     *
     * @param revision revision that was confirmed; ignored if it is higher than the one held
     * @param at monotonic time in milliseconds at which the store was asked
     */
    public void confirm(long revision, long at) {
        if (revision <= current.revision() && at > confirmedAt) {
            confirmedAt = at;
        }
    }

    /** Returns whether the configuration was ever confirmed. */
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
     * Returns whether keyed requests must be refused because the configuration may be out of date.
     *
     * @param now monotonic time in milliseconds
     * @param graceMillis longest time without a confirmation
     */
    public boolean isStale(long now, long graceMillis) {
        return confirmationAgeMillis(now) > graceMillis;
    }
}
