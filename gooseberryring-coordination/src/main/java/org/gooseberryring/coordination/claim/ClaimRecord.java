package org.gooseberryring.coordination.claim;

/**
 * Claim of one idempotency key.
 *
 * @param requestDigest digest of the request that claimed the key
 * @param requestId identifier of that request
 * @param host entry host of the request
 * @param incarnation incarnation of that host
 * @param claimedAt time of the claim in milliseconds of the shard's clock
 * @param status HTTP status of the recorded response, 0 if there is none
 * @param body body of the recorded response, or null
 */
public record ClaimRecord(
        String requestDigest,
        String requestId,
        String host,
        long incarnation,
        long claimedAt,
        int status,
        byte[] body) {
    // Estimated size of the digests, identifiers, numbers and field names in JSON.
    private static final int FIXED_BYTES = 400;

    /** Returns whether a response is recorded. */
    public boolean recorded() {
        return status != 0;
    }

    /** Returns this claim with a recorded response. */
    ClaimRecord record(int responseStatus, byte[] responseBody) {
        return new ClaimRecord(requestDigest, requestId, host, incarnation, claimedAt, responseStatus, responseBody);
    }

    /** Returns whether this claim belongs to the given request of a process. */
    boolean isHeldBy(String id, String byHost, long byIncarnation) {
        return requestId.equals(id) && host.equals(byHost) && incarnation == byIncarnation;
    }

    /** Returns the estimated size in the store, in bytes. */
    int bytes() {
        return FIXED_BYTES + (body == null ? 0 : body.length * 4 / 3 + 4);
    }
}
