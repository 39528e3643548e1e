package org.gooseberryring.coordination.claim;

/**
 * Request for a claim as its shard's owner received it.
 *
 * @param host host that asks
 * @param incarnation incarnation of that host
 * @param request the request
 * @param receivedAt monotonic time in milliseconds
 */
record ReceivedClaimRequest(String host, long incarnation, ClaimMessage.Request request, long receivedAt) {
    boolean sameAs(ReceivedClaimRequest other) {
        return host.equals(other.host)
                && incarnation == other.incarnation
                && request.requestId().equals(other.request.requestId());
    }
}
