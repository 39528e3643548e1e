package org.gooseberryring.coordination.limit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Token bucket of one organisation at one keeper.
 *
 * <p>The level plus the outstanding batches never exceeds the allotted burst. All that this keeper's tokens can admit in
 * a window is what was in the level or outstanding at its start, and what is filled during it, so the bound of rate
 * times time plus burst holds. Amounts are in thousandths of a token, so that a rate in tokens per second fills a whole
 * number in each millisecond.
 */
final class KeeperBucket {
    static final long MILLI = 1_000;

    // Settlements later than this lose their unused tokens. Long generations take minutes.
    private static final long CLOSED_RETENTION_MILLIS = 600_000;
    // Bounds the memory of one organisation to about a megabyte.
    private static final int MAX_CLOSED = 5_000;

    /** Batch that this keeper gave out. */
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
     * Creates a bucket without tokens.
     *
     * @param fillFrom monotonic time in milliseconds from which it fills
     */
    KeeperBucket(long fillFrom) {
        this.fillFrom = fillFrom;
        this.filledAt = fillFrom;
    }

    /** Sets the allotted rate in tokens per second and the burst in tokens; a raise adds room and no tokens. */
    void allot(long rateTokensPerSecond, long burstTokens, long now, long fillUntil) {
        advance(now, fillUntil);
        rate = rateTokensPerSecond;
        burst = burstTokens * MILLI;
        level = Math.max(0, Math.min(level, burst - outstanding));
        history.record(headroom());
    }

    /** Fills the bucket to its burst, which only the first bucket of a new organisation may do. */
    void fillUp() {
        level = Math.max(level, burst - outstanding);
        history.record(headroom());
    }

    /**
     * Fills the bucket and ends expired batches.
     *
     * @param now monotonic time in milliseconds
     * @param fillUntil time after which it must not fill
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

    /** Takes whole tokens out of the level into an outstanding batch; returns how many. */
    long grant(String batchId, String holder, long wanted, long expiresAt) {
        long tokens = Math.min(wanted, level / MILLI);
        if (tokens <= 0) {
            return 0;
        }
        level -= tokens * MILLI;
        outstanding += tokens * MILLI;
        Batch batch = new Batch(batchId, holder, tokens, expiresAt);
        batches.put(batchId, batch);
        open.add(batch);
        return tokens;
    }

    /** Applies a return; see {@link TokenMessage.Return}. */
    void giveBack(String holder, String batchId, long total, long now) {
        Batch batch = batches.get(batchId);
        if (batch == null || !batch.holder.equals(holder)) {
            return;
        }
        long given = Math.max(0, Math.min(total, batch.tokens));
        if (!batch.closed) {
            close(batch, given, now);
        } else if (given > batch.returned) {
            level += history.take(batch.mark, (given - batch.returned) * MILLI, headroom());
            batch.returned = given;
        }
    }

    /** Adds borrowed tokens as far as there is room; returns how many. */
    long deposit(long tokens) {
        long added = Math.max(0, Math.min(tokens, headroom() / MILLI));
        level += added * MILLI;
        history.record(headroom());
        return added;
    }

    /** Returns the milliseconds in which the rate fills the tokens, 0 if the bucket does not fill. */
    long fillMillis(long tokens) {
        return rate == 0 ? 0 : Math.max(1, (tokens * MILLI + rate - 1) / rate);
    }

    /** Returns the whole tokens that can be granted. */
    long levelTokens() {
        return level / MILLI;
    }

    /** Returns the tokens that may be added, rounded down. */
    long headroomTokens() {
        return headroom() / MILLI;
    }

    /** Returns the allotted burst in tokens. */
    long burstTokens() {
        return burst / MILLI;
    }

    /**
     * Returns whether the level and the outstanding batches fit into the burst. Before the bucket may fill, batches of
     * an earlier incarnation may be outstanding that this one does not know.
     */
    boolean withinBurst(long now) {
        return now >= fillFrom && headroom() >= 0;
    }

    /** Returns whether no batch is outstanding. */
    boolean settled() {
        return outstanding == 0;
    }

    private void fill(long until) {
        if (until <= filledAt) {
            return;
        }
        long room = Math.max(0, headroom());
        level += Math.min(room, rate * (until - filledAt));
        filledAt = until;
    }

    private void close(Batch batch, long given, long now) {
        history.record(headroom());
        outstanding -= batch.tokens * MILLI;
        level += given * MILLI;
        batch.closed = true;
        batch.closedAt = now;
        batch.returned = given;
        batch.mark = history.mark();
        closed.add(batch);
    }

    private long headroom() {
        return burst - level - outstanding;
    }
}
