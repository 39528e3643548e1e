package org.gooseberryring.coordination.config;

import org.gooseberryring.state.FleetConfiguration;

/**
 * Answer to a configuration request of a peer.
 *
 * @param revision revision that the sender holds
 * @param confirmationAgeMillis time since the sender's last confirmation, {@code Long.MAX_VALUE} if there was none
 * @param full whole configuration, or null
 * @param delta difference from the revision that the peer named, or null; both are null if the sender has nothing newer
 */
public record ConfigurationUpdate(
        long revision, long confirmationAgeMillis, FleetConfiguration full, ConfigurationDelta delta) {}
