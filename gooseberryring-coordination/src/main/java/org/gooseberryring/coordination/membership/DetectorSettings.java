package org.gooseberryring.coordination.membership;

/**
 * Settings of the failure detector.
 *
 * @param periodMillis interval between two probes sent by this host
 * @param timeoutMillis time after which an unanswered probe is repeated through other hosts
 * @param suspicionMillis time within which a suspected host must refute the suspicion
 * @param indirectProbes hosts that are asked to probe on behalf of this one
 * @param updatesPerMessage maximum number of queued updates in one message
 * @param transmissionsPerUpdate number of times that one update is sent, for each doubling of the number of hosts
 * @param deadRetentionMillis time after which a dead host is removed from the table
 * @param relays hosts of each failure domain that exchange summaries
 */
public record DetectorSettings(
        long periodMillis,
        long timeoutMillis,
        long suspicionMillis,
        int indirectProbes,
        int updatesPerMessage,
        int transmissionsPerUpdate,
        long deadRetentionMillis,
        int relays) {
    /** Returns the default settings. */
    public static DetectorSettings defaults() {
        return new DetectorSettings(500, 150, 2_000, 3, 8, 3, 600_000, 2);
    }
}
