package org.gooseberryring.host.entry;

import java.net.InetSocketAddress;

import org.gooseberryring.coordination.retry.RetryAllowance;

/**
 * Settings of an entry host.
 *
 * @param hostId identifier of this host
 * @param failureDomain failure domain that it lies in
 * @param callerAddress address that serves callers
 * @param readyAddress address of the readiness check
 * @param peerAddress address of the peer links
 * @param metricsPort port of the metrics on the host's address, 0 for none
 * @param shutdownMillis milliseconds from the request to stop until the process is ended
 * @param maxConnections connections of callers
 * @param retries retries that a service bears from all hosts
 * @param limitWindowMillis milliseconds in which an organisation may use its rate and its burst
 * @param processors processor cores that this host may use, 0 if unknown
 * @param configurationMillis milliseconds by which a configuration must be in force
 * @param endpointLeaveMillis milliseconds by which an endpoint that leaves must get no new work
 * @param domainLeaveMillis milliseconds by which a failure domain out of service must get no new work
 * @param registrationLapseMillis milliseconds after which an endpoint's entry is gone that the endpoint does not renew
 * @param orderLeaseMillis milliseconds that must lie between the orders of two controllers of an endpoint
 */
public record EntrySettings(
        String hostId,
        String failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress readyAddress,
        InetSocketAddress peerAddress,
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
