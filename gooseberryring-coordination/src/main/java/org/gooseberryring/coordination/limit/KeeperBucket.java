package org.gooseberryring.coordination.limit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Token bucket of one organisation at one keeper.
 *
 * <p>The level plus the outstanding batches never exceeds the allotted burst. In any window, this keeper's tokens can
 * admit at most the level and the outstanding batches at its start plus the refill during it. The bound of rate times
 * time plus burst therefore holds. Amounts are in thousandths of a token, so that a rate in tokens per second adds an
 * integer amount in each millisecond.
 */
final class KeeperBucket {
    static final long MILLITOKENS_PER_TOKEN = 1_000;

    // Unused tokens of a request that is settled later than this after its batch was closed are lost. Long generations
    // take minutes.
    private static final long CLOSED_RETENTION_MILLIS = 600_000;
    // Limits the memory of one organisation to about one megabyte.
    private static final int MAX_CLOSED = 5_000;

    /** Batch that this keeper granted. */
    private static final class Batch {
        private final String id;
        private final String holder;
        private final long tokens;
        private final long expiresAt;
        private boolean closed;
        private long closedAt;
        private long returned;
        private long mark;

        private Batch(String id, String holder, long tokens, long expiresAt) {
            this.id = id;
            this.holder = holder;
            this.tokens = tokens;
            this.expiresAt = expiresAt;
        }
    }

    private final HeadroomHistory history = new HeadroomHistory();
    private final Map<String, Batch> batches = new HashMap<>();
    private final ArrayDeque<Batch> open = new ArrayDeque<>();
    private final ArrayDeque<Batch> closed = new ArrayDeque<>();
    private final long fillFrom;
    private long rate;
    private long burst;
    private long level;
    private long outstanding;
    private long filledAt;

    /**
     * Creates an empty bucket.
     *
     * @param fillFrom monotonic time in milliseconds from which the bucket refills
     */
    KeeperBucket(long fillFrom) {
        this.fillFrom = fillFrom;
        this.filledAt = fillFrom;
    }

    /**
     * Sets the allotted rate in tokens per second and the burst in tokens. A higher burst adds headroom but no tokens.
     */
    void allot(long rateTokensPerSecond, long burstTokens, long now, long fillUntil) {
        advance(now, fillUntil);
        rate = rateTokensPerSecond;
        burst = burstTokens * MILLITOKENS_PER_TOKEN;
        level = Math.max(0, Math.min(level, burst - outstanding));
        history.record(headroom());
    }

    /** Fills the bucket to its burst. Only the first bucket of a new organisation may be filled this way. */
    void fillToBurst() {
        level = Math.max(level, burst - outstanding);
        history.record(headroom());
    }

    /**
     * Refills the bucket and closes expired batches.
     *
     * @param now monotonic time in milliseconds
     * @param fillUntil time after which the bucket must not refill
     */
    void advance(long now, long fillUntil) {
        while (!open.isEmpty() && (open.peek().closed || open.peek().expiresAt <= now)) {
            Batch batch = open.poll();
            if (!batch.closed) {
                fill(Math.min(batch.expiresAt, fillUntil));
                close(batch, 0, now);
            }
        }
        fill(Math.min(now, fillUntil));
        while (!closed.isEmpty()
                && (closed.size() > MAX_CLOSED || closed.peek().closedAt + CLOSED_RETENTION_MILLIS <= now)) {
            batches.remove(closed.poll().id);
        }
    }

    /** Moves whole tokens from the level into an outstanding batch and returns their number. */
    long grant(String batchId, String holder, long requested, long expiresAt) {
        long tokens = Math.min(requested, level / MILLITOKENS_PER_TOKEN);
        if (tokens <= 0) {
            return 0;
        }
        level -= tokens * MILLITOKENS_PER_TOKEN;
        outstanding += tokens * MILLITOKENS_PER_TOKEN;
        Batch batch = new Batch(batchId, holder, tokens, expiresAt);
        batches.put(batchId, batch);
        open.add(batch);
        return tokens;
    }

    /** Applies a returned batch; see {@link TokenMessage.Return}. */
    void refund(String holder, String batchId, long total, long now) {
        Batch batch = batches.get(batchId);
        if (batch == null || !batch.holder.equals(holder)) {
            return;
        }
        long refunded = Math.max(0, Math.min(total, batch.tokens));
        if (!batch.closed) {
            close(batch, refunded, now);
        } else if (refunded > batch.returned) {
            level += history.take(batch.mark, (refunded - batch.returned) * MILLITOKENS_PER_TOKEN, headroom());
            batch.returned = refunded;
        }
    }

    /** Adds borrowed tokens up to the free headroom and returns the number added. */
    long deposit(long tokens) {
        long added = Math.max(0, Math.min(tokens, headroom() / MILLITOKENS_PER_TOKEN));
        level += added * MILLITOKENS_PER_TOKEN;
        history.record(headroom());
        return added;
    }

    /** Returns the milliseconds that the rate needs to refill the tokens, 0 if the rate is 0. */
    long refillMillis(long tokens) {
        return rate == 0 ? 0 : Math.max(1, (tokens * MILLITOKENS_PER_TOKEN + rate - 1) / rate);
    }

    /** Returns the whole tokens that can be granted. */
    long levelTokens() {
        return level / MILLITOKENS_PER_TOKEN;
    }

    /** Returns the number of tokens that may be added, rounded down. */
    long headroomTokens() {
        return headroom() / MILLITOKENS_PER_TOKEN;
    }

    /** Returns the allotted burst in tokens. */
    long burstTokens() {
        return burst / MILLITOKENS_PER_TOKEN;
    }

    /**
     * Returns whether the level and the outstanding batches fit into the burst. Until the bucket may refill, batches of
     * an earlier incarnation may be outstanding that this incarnation does not know.
     */
    boolean isWithinBurst(long now) {
        return now >= fillFrom && headroom() >= 0;
    }

    /** Returns whether no batch is outstanding. */
    boolean isSettled() {
        return outstanding == 0;
    }

    private void fill(long until) {
        if (until <= filledAt) {
            return;
        }
        long freeMillitokens = Math.max(0, headroom());
        level += Math.min(freeMillitokens, rate * (until - filledAt));
        filledAt = until;
    }

    private void close(Batch batch, long refunded, long now) {
        history.record(headroom());
        outstanding -= batch.tokens * MILLITOKENS_PER_TOKEN;
        level += refunded * MILLITOKENS_PER_TOKEN;
        batch.closed = true;
        batch.closedAt = now;
        batch.returned = refunded;
        batch.mark = history.mark();
        closed.add(batch);
    }

    private long headroom() {
        return burst - level - outstanding;
    }
}
