package org.gooseberryring.coordination.limit;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

import org.gooseberryring.state.Organisation;

/** Tokens of one organisation on one host: the batches held and their reports to the keepers. */
final class OrganisationTokenPool {
    // Demand is averaged over about this time, long enough to smooth single requests.
    private static final double DEMAND_WINDOW_MILLIS = 500;

    // Long enough to outlast the pause between rounds, short against a burst.
    private static final long SCARCE_MILLIS = 200;

    private final LimitSettings settings;
    private final Consumer<LimitEffect> effects;
    private final ArrayDeque<PooledTokenBatch> open = new ArrayDeque<>();
    private final ArrayDeque<PooledTokenBatch> reports = new ArrayDeque<>();
    private Organisation organisation;
    private long available;
    private long demand;
    private double demandPerMilli;
    private long measuredAt;
    private long reportedAt;
    private long scarceUntil = Long.MIN_VALUE;

    OrganisationTokenPool(Organisation organisation, LimitSettings settings, Consumer<LimitEffect> effects, long now) {
        this.organisation = organisation;
        this.settings = settings;
        this.effects = effects;
        this.measuredAt = now;
        this.reportedAt = now;
    }

    Organisation organisation() {
        return organisation;
    }

    void configure(Organisation changed) {
        organisation = changed;
    }

    long available() {
        return available;
    }

    /** Returns the tokens to hold in advance, none while they are scarce, so that hosts in need find them. */
    long stock(long now) {
        return now < scarceUntil ? 0 : (long) (demandPerMilli * settings.stockMillis());
    }

    /** Notes that the keepers together had too few tokens. */
    void scarce(long now) {
        scarceUntil = now + SCARCE_MILLIS;
    }

    /** Adds a batch, in the order of expiry, because an answer that was late expires before later ones. */
    void add(PooledTokenBatch batch) {
        ArrayDeque<PooledTokenBatch> later = new ArrayDeque<>(0);
        while (!open.isEmpty() && open.peekLast().expiresAfter(batch)) {
            later.push(open.pollLast());
        }
        open.add(batch);
        open.addAll(later);
        available += batch.available();
    }

    /** Takes tokens of unexpired batches; returns the reservation, or null if there are too few. */
    Reservation take(long tokens, long now) {
        expire(now);
        if (available < tokens) {
            return null;
        }
        available -= tokens;
        demand += tokens;
        Reservation reservation = null;
        long missing = tokens;
        while (missing > 0) {
            PooledTokenBatch batch = open.peek();
            long taken = batch.take(missing);
            if (taken > 0) {
                reservation = new Reservation(this, batch, taken, reservation);
            }
            missing -= taken;
            if (batch.available() == 0) {
                open.poll();
                close(batch);
            }
        }
        return reservation;
    }

    /** Puts back the unused tokens of a reservation. */
    void putBack(Reservation reservation, long unusedTokens) {
        long rest = unusedTokens;
        for (Reservation part = reservation; part != null && rest > 0; part = part.next()) {
            long amount = Math.min(rest, part.tokens());
            rest -= amount;
            available += part.batch().putBack(amount);
            if (part.batch().closed()) {
                enqueue(part.batch());
            }
        }
    }

    /** Ends batches that must no longer be spent. */
    void expire(long now) {
        while (!open.isEmpty() && open.peek().expired(now)) {
            close(open.poll());
        }
    }

    /**
     * Returns batches that are due or not needed, and reports to the keepers.
     *
     * @param waitingTokens tokens that waiting reservations need, which are kept while a round collects them
     * @param now monotonic time in milliseconds
     */
    void tick(long waitingTokens, long now) {
        expire(now);
        measure(now);
        long surplus = available - 2 * stock(now) - waitingTokens;
        for (Iterator<PooledTokenBatch> i = open.iterator(); i.hasNext(); ) {
            PooledTokenBatch batch = i.next();
            if (surplus > 0 || batch.due(now, 2 * settings.stockMillis())) {
                surplus -= batch.available();
                i.remove();
                close(batch);
            }
        }
        if (now - reportedAt >= settings.stockMillis() / 4) {
            reportedAt = now;
            report();
        }
    }

    /** Returns all batches. */
    void release() {
        while (!open.isEmpty()) {
            close(open.poll());
        }
        report();
    }

    /** Returns the batches held that can be spent, for tests and metrics. */
    List<PooledTokenBatch> batches() {
        return List.copyOf(open);
    }

    private void measure(long now) {
        long elapsed = now - measuredAt;
        if (elapsed <= 0) {
            return;
        }
        double weight = Math.min(1, elapsed / DEMAND_WINDOW_MILLIS);
        demandPerMilli += weight * ((double) demand / elapsed - demandPerMilli);
        demand = 0;
        measuredAt = now;
    }

    private void close(PooledTokenBatch batch) {
        available -= batch.close();
        enqueue(batch);
    }

    private void enqueue(PooledTokenBatch batch) {
        if (batch.enqueue()) {
            reports.add(batch);
        }
    }

    private void report() {
        while (!reports.isEmpty()) {
            PooledTokenBatch batch = reports.poll();
            effects.accept(new LimitEffect.Send(batch.keeper(), batch.report(organisation.id())));
        }
    }
}
