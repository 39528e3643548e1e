package org.gooseberryring.host.admin;

import java.util.Map;

/**
 * State of a host; the response body of {@code GET /admin/v1/status}.
 *
 * @param hostId identifier of the host
 * @param failureDomain failure domain of the host
 * @param incarnation number that changes with each restart, in hexadecimal
 * @param ready whether the host accepts new requests
 * @param draining whether the host is shutting down
 * @param revision revision of the configuration in use
 * @param configurationFresh whether the configuration was confirmed within the grace period
 * @param confirmedAgeMillis milliseconds since the configuration was confirmed, -1 if it never was
 * @param openRequests number of open requests
 * @param details further values by name
 */
public record StatusDocument(
        String hostId,
        String failureDomain,
        String incarnation,
        boolean ready,
        boolean draining,
        long revision,
        boolean configurationFresh,
        long confirmedAgeMillis,
        int openRequests,
        Map<String, Object> details) {}
