package org.gooseberryring.host.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

import org.gooseberryring.protocol.HostEntry;

/**
 * Settings of one host.
 *
 * @param hostId identifier of the host, unique in the fleet
 * @param failureDomain failure domain that the host lies in
 * @param callerAddress address that serves callers
 * @param adminAddress address that serves operators, health checks and metrics
 * @param peerAddress address of the peer links
 * @param relayAddress address that takes requests from other failure domains
 * @param platformUri address of the platform
 * @param peerSecret shared secret of the hosts, read from the file that the settings name
 * @param peerSeeds hosts to talk to while the platform's list of hosts cannot be read
 * @param operatorTokens tokens that may use the administration interface
 * @param weightStore what the weight store takes
 * @param limits bounds on what the host holds at once
 * @param timeouts times after which the host gives up waiting
 * @param keyGraceSeconds seconds for which known keys are served without a confirmed configuration
 * @param reclaimAfterSeconds age in seconds at which an unconfirmed quota may be reclaimed
 * @param sharedCredits whether the hosts of a failure domain share the concurrency of its endpoints; equal on all hosts
 */
public record HostSettings(
        String hostId,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress adminAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress relayAddress,
        URI platformUri,
        byte[] peerSecret,
        List<HostEntry> peerSeeds,
        List<OperatorToken> operatorTokens,
        WeightStore weightStore,
        Limits limits,
        Timeouts timeouts,
        long keyGraceSeconds,
        long reclaimAfterSeconds,
        boolean sharedCredits) {
    public HostSettings {
        peerSeeds = List.copyOf(peerSeeds);
        operatorTokens = List.copyOf(operatorTokens);
    }

    /**
     * Token of an operator, of which only the digest is kept.
     *
     * @param name name of the operator in the audit trail
     * @param digest lower-case hexadecimal SHA-256 of the token
     */
    public record OperatorToken(String name, String digest) {}

    /**
     * What the weight store takes from all failure domains together.
     *
     * @param loadsPerMinute loads a minute at full speed
     * @param concurrency loads at once at full speed
     */
    public record WeightStore(long loadsPerMinute, int concurrency) {
        private static final double SECONDS_PER_MINUTE = 60;

        /** Returns the loads a second at full speed. */
        public double loadsPerSecond() {
            return loadsPerMinute / SECONDS_PER_MINUTE;
        }
    }

    /**
     * Bounds on what a host holds at once.
     *
     * @param maxBodyBytes largest request body
     * @param maxOpenRequests requests that are open at once
     * @param maxConnections connections of callers
     * @param maxEndpointConnections requests in flight to one endpoint
     * @param requestRingSize slots of the ring to the request thread, a power of two
     * @param controlRingSize slots of the ring to the control thread, a power of two
     * @param storeRingSize slots of the ring to the store thread, a power of two
     * @param orderRingSize slots of the ring to the order thread, a power of two
     * @param auditRingSize slots of the ring to the audit thread, a power of two
     * @param peerQueueFrames frames that wait for one peer
     */
    public record Limits(
            int maxBodyBytes,
            int maxOpenRequests,
            int maxConnections,
            int maxEndpointConnections,
            int requestRingSize,
            int controlRingSize,
            int storeRingSize,
            int orderRingSize,
            int auditRingSize,
            int peerQueueFrames) {}

    /**
     * Times after which a host gives up waiting, in milliseconds.
     *
     * @param storeMillis one call to the object store
     * @param watchMillis longest wait of a watch at the store
     * @param pollMillis mean time between reads of the configuration when the watch fails
     * @param connectMillis opening a connection to an endpoint
     * @param firstByteMillis first byte of an answer
     * @param idleMillis next byte of an answer
     * @param bodyMillis whole body of a request
     * @param deadlineMillis deadline of a request that names none
     * @param drainNoticeMillis time for the load balancer to notice a shutdown
     * @param drainLimitMillis longest time that answers in flight may take to finish
     */
    public record Timeouts(
            long storeMillis,
            long watchMillis,
            long pollMillis,
            long connectMillis,
            long firstByteMillis,
            long idleMillis,
            long bodyMillis,
            long deadlineMillis,
            long drainNoticeMillis,
            long drainLimitMillis) {}
}
