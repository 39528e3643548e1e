package org.gooseberryring.coordination.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gooseberryring.state.Organisation;

/**
 * Stores this host's token batches and admits requests from them.
 *
 * <p>A request is admitted when its tokens are reserved, and counts with the tokens that it actually uses. A
 * reservation is spent once: unused tokens return to their batch while the batch is open, and otherwise to the keeper.
 * The keeper adds them only if its bucket has had headroom for them since the batch was closed.
 *
 * <p>Messages and deferred decisions are collected until the next call of {@link #drain()}.
 */
public final class TokenPool implements TokenAdmission {
    private final String host;
    private final long incarnation;
    private final LimitSettings settings;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Reservation> reservations = new HashMap<>();
    private final Map<String, String> pending = new HashMap<>();
    private List<LimitEffect> effects = new ArrayList<>();
    private long sequence;
    private long now;

    /** Token pool of an organisation with its fetcher. */
    private record Entry(OrganisationTokenPool account, TokenFetcher fetcher) {}

    /**
     * Creates a token pool without organisations.
     *
     * @param host identifier of this host
     * @param incarnation incarnation of this process
     * @param settings settings of the limits
     */
    public TokenPool(String host, long incarnation, LimitSettings settings) {
        this.host = host;
        this.incarnation = incarnation;
        this.settings = settings;
    }

    /** Sets the configured organisations. Tokens of a removed organisation are returned. */
    public void configure(Map<String, Organisation> organisations, long now) {
        this.now = now;
        entries.entrySet().removeIf(entry -> {
            boolean removed = !organisations.containsKey(entry.getKey());
            if (removed) {
                entry.getValue().fetcher().refuseAll();
                entry.getValue().account().release();
                pending.values().removeIf(entry.getKey()::equals);
            }
            return removed;
        });
        organisations.forEach((id, organisation) -> {
            Entry entry = entries.computeIfAbsent(id, name -> createEntry(organisation, now));
            entry.account().configure(organisation);
        });
    }

    /** Sets the keepers of an organisation, nearest first. */
    public void setKeepers(String organisation, List<String> nearestFirst) {
        Entry entry = entries.get(organisation);
        if (entry != null) {
            entry.fetcher().setKeepers(nearestFirst);
        }
    }

    @Override
    public Admission reserve(String requestId, String organisation, long tokens, long now) {
        this.now = now;
        if (tokens <= 0) {
            return Admission.admitted();
        }
        Entry entry = entries.get(organisation);
        if (entry == null) {
            return Admission.refused(settings.roundIntervalMillis());
        }
        if (entry.fetcher().isIdle()) {
            Reservation reservation = entry.account().take(tokens, now);
            if (reservation != null) {
                reservations.put(requestId, reservation);
                entry.fetcher().startRound(now);
                return Admission.admitted();
            }
        }
        Admission admission = entry.fetcher().enqueue(requestId, tokens, now);
        if (admission.kind() == Admission.Kind.PENDING) {
            pending.put(requestId, organisation);
        }
        return admission;
    }

    @Override
    public void settle(String requestId, long usedTokens, long now) {
        this.now = now;
        Reservation reservation = reservations.remove(requestId);
        if (reservation == null) {
            cancel(requestId);
            return;
        }
        long reserved = 0;
        for (Reservation part = reservation; part != null; part = part.next()) {
            reserved += part.tokens();
        }
        OrganisationTokenPool pool = reservation.pool();
        pool.expire(now);
        pool.refund(reservation, Math.max(0, reserved - Math.max(0, usedTokens)));
    }

    /** Handles a keeper's grant of tokens. */
    public void onGrant(String sender, TokenMessage.Grant grant, long now) {
        this.now = now;
        Entry entry = entries.get(grant.organisation());
        if (entry != null) {
            entry.fetcher().onGrant(sender, grant, now);
        }
    }

    /** Expires and returns batches, fetches tokens in advance and skips keepers that do not reply. */
    public void tick(long now) {
        this.now = now;
        for (Entry entry : entries.values()) {
            entry.account().tick(entry.fetcher().waitingTokens(), now);
            entry.fetcher().tick(now);
        }
    }

    /** Returns all batches to their keepers, for example for a graceful shutdown. */
    public void release(long now) {
        this.now = now;
        for (Entry entry : entries.values()) {
            entry.account().expire(now);
            entry.account().release();
        }
    }

    /** Returns and clears the effects since the last call. */
    public List<LimitEffect> drain() {
        if (effects.isEmpty()) {
            return List.of();
        }
        List<LimitEffect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }

    /** Returns the tokens that can be reserved immediately. Used for metrics. */
    public long available(String organisation) {
        Entry entry = entries.get(organisation);
        return entry == null ? 0 : entry.account().available();
    }

    private Entry createEntry(Organisation organisation, long now) {
        OrganisationTokenPool pool = new OrganisationTokenPool(organisation, settings, this::addEffect, now);
        TokenFetcher fetcher =
                new TokenFetcher(pool, settings, this::nextRequestId, this::addEffect, waiting -> admit(pool, waiting));
        return new Entry(pool, fetcher);
    }

    private boolean admit(OrganisationTokenPool pool, PendingReservation waiting) {
        Reservation reservation = pool.take(waiting.tokens(), now);
        if (reservation == null) {
            return false;
        }
        pending.remove(waiting.requestId());
        reservations.put(waiting.requestId(), reservation);
        effects.add(new LimitEffect.Decided(waiting.requestId(), Admission.admitted()));
        return true;
    }

    private void cancel(String requestId) {
        String organisation = pending.remove(requestId);
        Entry entry = organisation == null ? null : entries.get(organisation);
        if (entry != null) {
            entry.fetcher().cancel(requestId);
        }
    }

    private void addEffect(LimitEffect effect) {
        if (effect instanceof LimitEffect.Decided decided) {
            pending.remove(decided.requestId());
        }
        effects.add(effect);
    }

    private String nextRequestId() {
        // The keeper of this host sends its requests for loans as the same host, so the identifiers must differ.
        return host + "/wallet/" + Long.toHexString(incarnation) + '/' + ++sequence;
    }
}
