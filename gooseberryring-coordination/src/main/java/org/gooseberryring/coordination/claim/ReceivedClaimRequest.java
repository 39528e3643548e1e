package org.gooseberryring.coordination.claim;

/**
 * Request for a claim as received by the owner of its shard.
 *
 * @param host host that sent the request
 * @param incarnation incarnation of that host
 * @param request the request
 * @param receivedAt monotonic time of receipt in milliseconds
 */
record ReceivedClaimRequest(String host, long incarnation, ClaimMessage.Request request, long receivedAt) {
    boolean isSameRequest(ReceivedClaimRequest other) {
        return host.equals(other.host)
                && incarnation == other.incarnation
                && request.requestId().equals(other.request.requestId());
    }
}
