package org.gooseberryring.coordination.claim;

/**
 * Settings of idempotency claims.
 *
 * @param shards number of shards; it must not change while the store contains claims
 * @param commitIntervalMillis minimum interval between two commits of a shard
 * @param requestTimeoutMillis time after which a router repeats a request to an owner
 * @param claimTimeoutMillis time after which a claim without a result fails as unavailable
 * @param retentionMillis time for which a claim is kept; only time in which the shard has an owner counts
 * @param maxBytes estimated size of a shard object in bytes above which new claims are refused
 * @param maxBodyBytes maximum size of a recorded response body in bytes
 * @param maxWaiting maximum number of claims that wait for a commit of one shard
 */
public record ClaimSettings(
        int shards,
        long commitIntervalMillis,
        long requestTimeoutMillis,
        long claimTimeoutMillis,
        long retentionMillis,
        int maxBytes,
        int maxBodyBytes,
        int maxWaiting) {
    /** Returns the default settings; the store accepts objects of up to 1,000,000 bytes. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(256, 5, 100, 500, 86_400_000, 800_000, 4_096, 1_000);
    }
}
