package org.gooseberryring.coordination.ratelimit;

import org.gooseberryring.state.EndpointProcess;

/**
 * Request of a host for permits to send requests to an endpoint; it replaces the host's earlier one.
 *
 * @param process process that the permits are for
 * @param number number of the request, which rises
 * @param wanted number of requests that wait for a permit, 0 if none does any more
 * @param limit limit that the host knows
 */
public record PermitRequest(EndpointProcess process, PermitPurpose purpose, long number, int wanted, RateLimit limit) {}
