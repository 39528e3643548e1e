package org.gooseberryring.coordination.claim;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Content of the store object {@code claims/SHARD}.
 *
 * @param holder host that owns the shard, empty if none does
 * @param incarnation incarnation of the holder
 * @param term number that rises with each change of owner
 * @param clock milliseconds that owners have counted; it stands still without an owner, so that claims are kept for
 *     at least the retention time whatever the hosts' clocks show
 * @param claims claims by the digest of the key
 */
public record ClaimShardDocument(
        String holder, long incarnation, long term, long clock, SortedMap<String, ClaimRecord> claims) {
    public ClaimShardDocument {
        claims = claims == null ? new TreeMap<>() : claims;
        claims = Collections.unmodifiableSortedMap(claims);
    }

    /** Returns the document of a shard that nobody has owned. */
    public static ClaimShardDocument empty() {
        return new ClaimShardDocument("", 0, 0, 0, null);
    }

    /** Returns whether a process owns the shard. */
    public boolean heldBy(String host, long byIncarnation) {
        return holder.equals(host) && incarnation == byIncarnation;
    }

    /** Returns this document with another owner in the next term. */
    ClaimShardDocument takenBy(String host, long byIncarnation) {
        return new ClaimShardDocument(host, byIncarnation, term + 1, clock, claims);
    }

    /** Returns this document without an owner. */
    ClaimShardDocument resigned(long atClock) {
        return new ClaimShardDocument("", 0, term, atClock, claims);
    }

    /** Returns this document with other claims. */
    ClaimShardDocument with(long atClock, Map<String, ClaimRecord> changed) {
        return new ClaimShardDocument(holder, incarnation, term, atClock, new TreeMap<>(changed));
    }

    /** Returns the estimated size in the store, in bytes. */
    int bytes() {
        return claims.values().stream().mapToInt(ClaimRecord::bytes).sum();
    }
}
