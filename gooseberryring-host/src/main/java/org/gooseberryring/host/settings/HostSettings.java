package org.gooseberryring.host.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;

import org.gooseberryring.protocol.HostEntry;

/**
 * Settings of one host.
 *
 * @param hostId identifier of the host, unique in the fleet
 * @param failureDomain failure domain of the host
 * @param callerAddress address that serves callers
 * @param adminAddress address that serves operators, health checks and metrics
 * @param peerAddress address that accepts connections of other hosts
 * @param relayAddress address that accepts requests relayed from other failure domains
 * @param platformUri address of the platform
 * @param peerSecret secret shared by the hosts, read from the file given in the settings
 * @param peerSeeds hosts to contact while the platform's list of hosts cannot be read
 * @param operatorTokens tokens that grant access to the administration interface
 * @param weightStore capacity of the weight store
 * @param limits limits on the resources of the host
 * @param timeouts time-outs and intervals of the host
 * @param keyGraceSeconds seconds for which known keys are accepted without a confirmed configuration
 * @param reclaimAfterSeconds age in seconds at which an unconfirmed quota may be reclaimed
 * @param sharedCredits whether the hosts of a domain share the concurrency of its endpoints; must be equal on all hosts
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
     * Token of an operator; only its digest is stored.
     *
     * @param name name of the operator in the audit trail
     * @param digest lower-case hexadecimal SHA-256 of the token
     */
    public record OperatorToken(String name, String digest) {}

    /**
     * Capacity of the weight store for all failure domains together.
     *
     * @param loadsPerMinute loads per minute that the store serves at full speed
     * @param concurrency concurrent loads that the store serves at full speed
     */
    public record WeightStore(long loadsPerMinute, int concurrency) {
        private static final double SECONDS_PER_MINUTE = 60;

        /** Returns the loads per second that the store serves at full speed. */
        public double loadsPerSecond() {
            return loadsPerMinute / SECONDS_PER_MINUTE;
        }
    }

    /**
     * Limits on the resources of a host.
     *
     * @param maxBodyBytes maximum size of a request body
     * @param maxOpenRequests maximum number of open requests
     * @param maxConnections maximum number of caller connections
     * @param maxEndpointConnections maximum number of requests in flight to one endpoint
     * @param requestRingSize number of slots of the event ring of the request thread, a power of two
     * @param controlRingSize number of slots of the event ring of the control thread, a power of two
     * @param storeRingSize number of slots of the event ring of the store thread, a power of two
     * @param orderRingSize number of slots of the event ring of the order thread, a power of two
     * @param auditRingSize number of slots of the event ring of the audit thread, a power of two
     * @param peerQueueFrames maximum number of frames queued for one peer
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
     * Time-outs and intervals of a host, in milliseconds.
     *
     * @param storeMillis time-out of a call to the object store
     * @param watchMillis maximum duration of a watch on the store
     * @param pollMillis mean time between reads of the configuration when the watch fails
     * @param connectMillis time-out for opening a connection to an endpoint
     * @param firstByteMillis time-out for the first byte of a response
     * @param idleMillis time-out for the next byte of a response
     * @param bodyMillis time-out for the complete body of a request
     * @param deadlineMillis default deadline of a request
     * @param drainNoticeMillis time for the load balancer to notice a shutdown
     * @param drainLimitMillis maximum time for responses in flight to complete
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
