package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Map;

import org.gooseberryring.coordination.direct.EndpointUse;
import org.gooseberryring.coordination.direct.PromptPlacement;
import org.gooseberryring.coordination.limit.TokenUse;
import org.gooseberryring.coordination.path.HostReach;

/**
 * Changes of another host's state that concern the request thread of this host.
 *
 * @param host host whose state has changed
 * @param incarnation incarnation of its process
 * @param complete whether this is its complete state, so that endpoints that are not listed serve none of its requests
 * @param uses changed usage of endpoints by its requests
 * @param tokenUses changed totals of tokens admitted since the start of its process, by organisation
 * @param placements prompt parts that endpoints have processed
 * @param reach endpoints that it reaches itself, null if that has not changed
 */
record HostChanges(
        String host,
        long incarnation,
        boolean complete,
        Map<String, EndpointUse> uses,
        Map<String, TokenUse> tokenUses,
        List<PromptPlacement> placements,
        HostReach reach) {}
