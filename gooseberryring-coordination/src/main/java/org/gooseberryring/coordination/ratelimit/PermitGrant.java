package org.gooseberryring.coordination.ratelimit;

import org.gooseberryring.state.EndpointProcess;

/**
 * Response to a request for permits.
 *
 * @param number number of the newest request
 * @param permits number of requests that may be sent
 * @param waitMillis expected time until the next permit
 * @param intervalMillis expected time between the permits that follow it
 * @param limit limit that the issuer knows
 */
public record PermitGrant(
        EndpointProcess process,
        PermitPurpose purpose,
        long number,
        int permits,
        long waitMillis,
        long intervalMillis,
        RateLimit limit) {}
