package org.gooseberryring.coordination.config;

import org.gooseberryring.state.FleetConfiguration;

/**
 * Reply to a configuration request of a peer.
 *
 * @param revision current revision of the sender
 * @param confirmationAgeMillis time since the sender's last confirmation, {@code Long.MAX_VALUE} if there was none
 * @param full complete configuration, or null
 * @param delta difference from the revision in the request, or null; both {@code full} and {@code delta} are null if
 *     the sender has no newer revision
 */
public record ConfigurationUpdate(
        long revision, long confirmationAgeMillis, FleetConfiguration full, ConfigurationDelta delta) {}
