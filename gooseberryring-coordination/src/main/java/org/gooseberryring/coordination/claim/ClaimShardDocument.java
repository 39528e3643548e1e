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
 * @param term number that increases with each new owner
 * @param clock time in milliseconds that the shard has had an owner; it does not advance without an owner, so that
 *     claims are kept for at least the retention time and independently of the clocks of the hosts
 * @param claims claims by digest of the key
 */
public record ClaimShardDocument(
        String holder, long incarnation, long term, long clock, SortedMap<String, ClaimRecord> claims) {
    public ClaimShardDocument {
        claims = claims == null ? new TreeMap<>() : claims;
        claims = Collections.unmodifiableSortedMap(claims);
    }

    /** Returns the document of a shard that has never had an owner. */
    public static ClaimShardDocument empty() {
        return new ClaimShardDocument("", 0, 0, 0, null);
    }

    /** Returns whether the given process owns the shard. */
    public boolean isHeldBy(String host, long ownerIncarnation) {
        return holder.equals(host) && incarnation == ownerIncarnation;
    }

    /** Returns this document with a new owner and the next term. */
    ClaimShardDocument withOwner(String host, long ownerIncarnation) {
        return new ClaimShardDocument(host, ownerIncarnation, term + 1, clock, claims);
    }

    /** Returns this document without an owner. */
    ClaimShardDocument withoutOwner(long newClock) {
        return new ClaimShardDocument("", 0, term, newClock, claims);
    }

    /** Returns this document with other claims. */
    ClaimShardDocument withClaims(long newClock, Map<String, ClaimRecord> newClaims) {
        return new ClaimShardDocument(holder, incarnation, term, newClock, new TreeMap<>(newClaims));
    }

    /** Returns the estimated size in the store, in bytes. */
    int bytes() {
        return claims.values().stream().mapToInt(ClaimRecord::bytes).sum();
    }
}
