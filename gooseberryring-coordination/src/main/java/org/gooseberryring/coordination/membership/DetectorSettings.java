package org.gooseberryring.coordination.membership;

/**
 * Settings of the failure detector.
 *
 * @param periodMillis time between two probes of this host
 * @param timeoutMillis time after which an unanswered probe is repeated through other hosts
 * @param suspicionMillis time that a suspected host has to refute
 * @param indirectProbes hosts that are asked to probe on behalf of this one
 * @param updatesPerMessage updates carried by one message
 * @param transmissionsPerUpdate times that one update is sent on, for each doubling of the number of hosts
 * @param forgetMillis time after which a dead host is forgotten
 * @param relays hosts of each failure domain that exchange summaries
 */
public record DetectorSettings(
        long periodMillis,
        long timeoutMillis,
        long suspicionMillis,
        int indirectProbes,
        int updatesPerMessage,
        int transmissionsPerUpdate,
        long forgetMillis,
        int relays) {
    /** Returns the settings of a normal installation. */
    public static DetectorSettings defaults() {
        return new DetectorSettings(500, 150, 2_000, 3, 8, 3, 600_000, 2);
    }
}
