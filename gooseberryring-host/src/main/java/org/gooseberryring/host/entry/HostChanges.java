package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.direct.EndpointUse;
import org.gooseberryring.coordination.direct.PromptPlacement;

/**
 * What the request thread of this host needs of the changes of another host's state.
 *
 * @param host host whose state has changed
 * @param incarnation number of its process
 * @param complete whether endpoints that are not named serve none of its requests
 * @param uses what its requests take of endpoints, as far as that has changed
 * @param usedTokens tokens admitted since the start of its process by organisation, as far as they have changed
 * @param placements prompt parts that endpoints have read
 */
record HostChanges(
        String host,
        long incarnation,
        boolean complete,
        Map<String, EndpointUse> uses,
        Map<String, Long> usedTokens,
        List<PromptPlacement> placements) {}
