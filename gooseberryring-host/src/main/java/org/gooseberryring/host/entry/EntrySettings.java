package org.gooseberryring.host.entry;

import java.net.InetSocketAddress;

import org.gooseberryring.coordination.retry.RetryAllowance;

/**
 * Settings of an entry host.
 *
 * @param hostId identifier of this host
 * @param failureDomain failure domain of this host
 * @param callerAddress address that serves callers
 * @param readyAddress address of the readiness check
 * @param peerAddress address of the peer links
 * @param relayAddress address that takes requests of other hosts
 * @param metricsPort port of the metrics on the host's address, 0 for none
 * @param shutdownMillis milliseconds from the request to stop until the process must have ended
 * @param maxConnections maximum number of connections from callers
 * @param retries retries that a service may receive from all hosts together
 * @param limitWindowMillis milliseconds of the window in which an organisation may use its rate and its burst
 * @param processors processor cores that this host may use, 0 if unknown
 * @param configurationMillis milliseconds within which a configuration must be in force
 * @param endpointLeaveMillis milliseconds after which a leaving endpoint must get no new work
 * @param domainLeaveMillis milliseconds after which a drained failure domain must get no new work
 * @param registrationLapseMillis milliseconds after which a registration expires that its endpoint does not renew
 * @param orderLeaseMillis minimum milliseconds between the orders of two controllers of an endpoint
 */
public record EntrySettings(
        String hostId,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress readyAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress relayAddress,
        int metricsPort,
        long shutdownMillis,
        int maxConnections,
        RetryAllowance retries,
        long limitWindowMillis,
        double processors,
        long configurationMillis,
        long endpointLeaveMillis,
        long domainLeaveMillis,
        long registrationLapseMillis,
        long orderLeaseMillis) {}
