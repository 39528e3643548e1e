package org.gooseberryring.coordination.limit;

/** Batch of tokens in a token pool. It exists until its last reservation is settled. */
final class PooledTokenBatch {
    private final String id;
    private final String keeper;
    private final long tokens;
    private final long receivedAt;
    private final long expiresAt;
    private long available;
    private long unused;
    private boolean closed;
    private boolean queued;

    PooledTokenBatch(String id, String keeper, long tokens, long receivedAt, long expiresAt) {
        this.id = id;
        this.keeper = keeper;
        this.tokens = tokens;
        this.receivedAt = receivedAt;
        this.expiresAt = expiresAt;
        this.available = tokens;
    }

    String keeper() {
        return keeper;
    }

    long available() {
        return available;
    }

    boolean isClosed() {
        return closed;
    }

    /** Takes tokens for a reservation; returns the number taken, at most the requested number. */
    long take(long requested) {
        long taken = Math.min(requested, available);
        available -= taken;
        return taken;
    }

    /** Returns unused tokens of a reservation to this batch; returns how many of them can be spent again. */
    long refund(long amount) {
        if (closed) {
            unused += amount;
            return 0;
        }
        available += amount;
        return amount;
    }

    /** Closes the batch; returns the tokens that were still available. */
    long close() {
        long remaining = available;
        unused += remaining;
        available = 0;
        closed = true;
        return remaining;
    }

    boolean isExpired(long now) {
        return now >= expiresAt;
    }

    boolean expiresAfter(PooledTokenBatch other) {
        return expiresAt > other.expiresAt;
    }

    /**
     * Returns whether the batch should be returned to its keeper because it is used up, mostly used up while it still
     * counts in full against the keeper's burst, or close to its expiry.
     */
    boolean isDue(long now, long settleMillis) {
        long age = now - receivedAt;
        boolean mostlyUsed = available < tokens / 2 && age >= settleMillis;
        boolean nearExpiry = age >= (expiresAt - receivedAt) * 3 / 4;
        return available == 0 || mostlyUsed || nearExpiry;
    }

    /** Marks the batch as queued for a return; returns whether it was not queued before. */
    boolean markQueued() {
        boolean added = !queued;
        queued = true;
        return added;
    }

    /** Creates the return message to the keeper with the total of unused tokens so far. */
    TokenMessage.Return createReturn(String organisation) {
        queued = false;
        return new TokenMessage.Return(organisation, id, unused);
    }
}
