package org.gooseberryring.coordination.limit;

/** Batch of tokens that a wallet holds, until its last reservation is settled. */
final class PooledTokenBatch {
    private final String id;
    private final String keeper;
    private final long tokens;
    private final long heldSince;
    private final long expiresAt;
    private long available;
    private long unused;
    private boolean closed;
    private boolean queued;

    PooledTokenBatch(String id, String keeper, long tokens, long heldSince, long expiresAt) {
        this.id = id;
        this.keeper = keeper;
        this.tokens = tokens;
        this.heldSince = heldSince;
        this.expiresAt = expiresAt;
        this.available = tokens;
    }

    String keeper() {
        return keeper;
    }

    long available() {
        return available;
    }

    boolean closed() {
        return closed;
    }

    /** Takes tokens for a reservation; returns how many, at most what is wanted. */
    long take(long wanted) {
        long taken = Math.min(wanted, available);
        available -= taken;
        return taken;
    }

    /** Takes back unused tokens of a reservation; returns how many can be spent again from here. */
    long putBack(long amount) {
        if (closed) {
            unused += amount;
            return 0;
        }
        available += amount;
        return amount;
    }

    /** Ends spending; returns the tokens that were still available. */
    long close() {
        long rest = available;
        unused += rest;
        available = 0;
        closed = true;
        return rest;
    }

    boolean expired(long now) {
        return now >= expiresAt;
    }

    boolean expiresAfter(PooledTokenBatch other) {
        return expiresAt > other.expiresAt;
    }

    /**
     * Returns whether the batch should go back to its keeper: it is used up, mostly used up while counting against the
     * keeper's burst in full, or close to its expiry.
     */
    boolean due(long now, long settleMillis) {
        long age = now - heldSince;
        boolean mostlyUsed = available < tokens / 2 && age >= settleMillis;
        boolean old = age >= (expiresAt - heldSince) * 3 / 4;
        return available == 0 || mostlyUsed || old;
    }

    /** Marks the batch as waiting to report; returns whether it was not before. */
    boolean enqueue() {
        boolean added = !queued;
        queued = true;
        return added;
    }

    /** Returns the report to the keeper with all tokens given back so far. */
    TokenMessage.Return report(String organisation) {
        queued = false;
        return new TokenMessage.Return(organisation, id, unused);
    }
}
