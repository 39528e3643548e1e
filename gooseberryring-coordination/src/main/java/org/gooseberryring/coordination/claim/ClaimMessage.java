package org.gooseberryring.coordination.claim;

/** Message about claims between two hosts. Each record corresponds to a peer message with the same fields. */
public sealed interface ClaimMessage {
    /** Returns the identifier of the request that the claim is for. */
    String requestId();

    /**
     * Requests a claim from the owner of its shard.
     *
     * @param requestId identifier of the request, unique among all hosts
     * @param keyDigest digest of organisation and idempotency key, in hexadecimal
     * @param requestDigest digest of the request
     * @param shard shard of the key
     */
    record Request(String requestId, String keyDigest, String requestDigest, int shard) implements ClaimMessage {}

    /**
     * Replies to a request for a claim.
     *
     * @param requestId identifier of the request
     * @param result result of the claim
     */
    record Reply(String requestId, ClaimResult result) implements ClaimMessage {}

    /**
     * Reports how a claimed request ended. The message is idempotent and may be sent several times.
     *
     * @param keyDigest digest of organisation and idempotency key, in hexadecimal
     * @param shard shard of the key
     * @param released whether the request certainly did not run
     * @param status HTTP status of the response, 0 if released
     * @param body body of the response, or null
     * @param requestId identifier of the request that holds the claim
     */
    record Outcome(String keyDigest, int shard, boolean released, int status, byte[] body, String requestId)
            implements ClaimMessage {}
}
