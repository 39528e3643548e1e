package org.gooseberryring.coordination.claim;

/**
 * Settings of the claims.
 *
 * @param shards number of shards; it must not change while claims are kept
 * @param commitIntervalMillis least time between two commits of a shard
 * @param askTimeoutMillis milliseconds after which a router asks again
 * @param budgetMillis milliseconds that a router spends on one claim
 * @param retentionMillis time for which a claim is kept, counted while the shard has an owner
 * @param maxBytes estimated size of a shard object above which new claims are refused
 * @param maxBodyBytes largest body that is recorded
 * @param maxWaiting claims that wait for a commit of one shard
 */
public record ClaimSettings(
        int shards,
        long commitIntervalMillis,
        long askTimeoutMillis,
        long budgetMillis,
        long retentionMillis,
        int maxBytes,
        int maxBodyBytes,
        int maxWaiting) {
    /** Returns the defaults; the store takes values of up to 1,000,000 bytes. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(256, 5, 100, 500, 86_400_000, 800_000, 4_096, 1_000);
    }
}
