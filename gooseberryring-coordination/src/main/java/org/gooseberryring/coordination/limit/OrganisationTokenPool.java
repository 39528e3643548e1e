package org.gooseberryring.coordination.limit;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

import org.gooseberryring.state.Organisation;

/** Tokens of one organisation on one host: its open batches and the returns to the keepers. */
final class OrganisationTokenPool {
    // Averaging time of the demand, long enough to smooth single requests.
    private static final double DEMAND_WINDOW_MILLIS = 500;

    // Longer than the pause between rounds, but short compared with the duration of a burst.
    private static final long SCARCITY_MILLIS = 200;

    private final LimitSettings settings;
    private final Consumer<LimitEffect> effects;
    private final ArrayDeque<PooledTokenBatch> open = new ArrayDeque<>();
    private final ArrayDeque<PooledTokenBatch> pendingReturns = new ArrayDeque<>();
    private Organisation organisation;
    private long available;
    private long demand;
    private double demandPerMilli;
    private long measuredAt;
    private long returnsSentAt;
    private long scarceUntil = Long.MIN_VALUE;

    OrganisationTokenPool(Organisation organisation, LimitSettings settings, Consumer<LimitEffect> effects, long now) {
        this.organisation = organisation;
        this.settings = settings;
        this.effects = effects;
        this.measuredAt = now;
        this.returnsSentAt = now;
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

    /**
     * Returns the tokens to fetch in advance, 0 while tokens are scarce, so that hosts with waiting requests can get
     * them.
     */
    long stock(long now) {
        return now < scarceUntil ? 0 : (long) (demandPerMilli * settings.stockMillis());
    }

    /** Records that all keepers together had too few tokens. */
    void recordScarcity(long now) {
        scarceUntil = now + SCARCITY_MILLIS;
    }

    /** Adds a batch in order of expiry, because a delayed grant can expire before grants that arrived earlier. */
    void add(PooledTokenBatch batch) {
        ArrayDeque<PooledTokenBatch> laterBatches = new ArrayDeque<>(0);
        while (!open.isEmpty() && open.peekLast().expiresAfter(batch)) {
            laterBatches.push(open.pollLast());
        }
        open.add(batch);
        open.addAll(laterBatches);
        available += batch.available();
    }

    /** Takes tokens from unexpired batches; returns the reservation, or null if there are too few tokens. */
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

    /** Returns the unused tokens of a reservation to their batches. */
    void refund(Reservation reservation, long unusedTokens) {
        long remaining = unusedTokens;
        for (Reservation part = reservation; part != null && remaining > 0; part = part.next()) {
            long amount = Math.min(remaining, part.tokens());
            remaining -= amount;
            available += part.batch().refund(amount);
            if (part.batch().isClosed()) {
                enqueueReturn(part.batch());
            }
        }
    }

    /** Closes batches that must no longer be spent. */
    void expire(long now) {
        while (!open.isEmpty() && open.peek().isExpired(now)) {
            close(open.poll());
        }
    }

    /**
     * Closes batches that are due or not needed, and sends the pending returns to the keepers.
     *
     * @param waitingTokens tokens that waiting reservations need; they are retained while a round collects more
     * @param now monotonic time in milliseconds
     */
    void tick(long waitingTokens, long now) {
        expire(now);
        updateDemand(now);
        long surplus = available - 2 * stock(now) - waitingTokens;
        for (Iterator<PooledTokenBatch> i = open.iterator(); i.hasNext(); ) {
            PooledTokenBatch batch = i.next();
            if (surplus > 0 || batch.isDue(now, 2 * settings.stockMillis())) {
                surplus -= batch.available();
                i.remove();
                close(batch);
            }
        }
        if (now - returnsSentAt >= settings.stockMillis() / 4) {
            returnsSentAt = now;
            sendReturns();
        }
    }

    /** Closes all batches and returns them to their keepers. */
    void release() {
        while (!open.isEmpty()) {
            close(open.poll());
        }
        sendReturns();
    }

    /** Returns the open batches. Used for tests and metrics. */
    List<PooledTokenBatch> batches() {
        return List.copyOf(open);
    }

    private void updateDemand(long now) {
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
        enqueueReturn(batch);
    }

    private void enqueueReturn(PooledTokenBatch batch) {
        if (batch.markQueued()) {
            pendingReturns.add(batch);
        }
    }

    private void sendReturns() {
        while (!pendingReturns.isEmpty()) {
            PooledTokenBatch batch = pendingReturns.poll();
            effects.accept(new LimitEffect.Send(batch.keeper(), batch.createReturn(organisation.id())));
        }
    }
}
