package org.gooseberryring.coordination.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Fetches tokens of one organisation from its keepers and decides on the reservations that wait for them.
 *
 * <p>A round asks one keeper after another until enough tokens are available, nearest first if a request waits. Tokens
 * in advance are requested from all keepers in turn. If only the nearest keeper were used, the buckets of the others
 * would stay full, and a full bucket wastes its rate. A reservation is refused only after a round that began after its
 * arrival has asked every keeper.
 */
final class TokenFetcher {
    // Number of consecutive rounds with a missing reply after which waiting requests are refused. A round takes at most
    // one ask time-out per keeper, so a request waits for at most one or two seconds.
    private static final int MAX_ROUNDS_WITH_MISSING_REPLY = 5;
    // A keeper that has not replied is asked last for this time, so that it does not delay every round.
    private static final long SUSPECT_MILLIS = 1_000;
    // Retry delay if no keeper can predict when tokens will be available.
    private static final long DEFAULT_RETRY_MILLIS = 1_000;
    // Retry delay of a request that exceeds the organisation's burst. It can never be admitted, so an early retry is
    // useless.
    private static final long MAX_RETRY_MILLIS = 3_600_000;

    /** Request for tokens that has been sent to a keeper. */
    private record SentRequest(String requestId, String keeper, long tokens, long sentAt) {}

    private final OrganisationTokenPool pool;
    private final LimitSettings settings;
    private final Supplier<String> requestIds;
    private final Consumer<LimitEffect> effects;
    private final Predicate<PendingReservation> admit;
    private final ArrayDeque<PendingReservation> pending = new ArrayDeque<>();
    private final Map<String, SentRequest> sentRequests = new HashMap<>();
    private final Map<String, Long> suspects = new HashMap<>();
    private List<String> keepers = List.of();
    private List<String> order = List.of();
    private SentRequest current;
    private int position;
    private boolean active;
    private boolean replyMissing;
    private int roundsWithMissingReply;
    private boolean grantedInFull;
    private long nextRoundAt = Long.MIN_VALUE;
    private long roundStart;
    private double refillPerMilli;
    private double lastRefillPerMilli;
    private long pendingTokens;
    private long sequence;
    private int rotation;

    /**
     * Creates a fetcher without keepers.
     *
     * @param admit takes the tokens of a waiting reservation; returns false if the token pool has too few
     */
    TokenFetcher(
            OrganisationTokenPool pool,
            LimitSettings settings,
            Supplier<String> requestIds,
            Consumer<LimitEffect> effects,
            Predicate<PendingReservation> admit) {
        this.pool = pool;
        this.settings = settings;
        this.requestIds = requestIds;
        this.effects = effects;
        this.admit = admit;
    }

    void setKeepers(List<String> nearestFirst) {
        keepers = List.copyOf(nearestFirst);
        suspects.keySet().retainAll(keepers);
    }

    boolean isIdle() {
        return pending.isEmpty();
    }

    /** Returns the number of tokens that waiting reservations need. */
    long waitingTokens() {
        return pendingTokens;
    }

    /**
     * Queues a reservation, or refuses it if it exceeds the burst, no keeper is known or too many reservations wait.
     */
    Admission enqueue(String requestId, long tokens, long now) {
        if (tokens > pool.organisation().burstTokens() || pool.organisation().rateTokensPerSecond() <= 0) {
            return Admission.refused(MAX_RETRY_MILLIS);
        }
        if (keepers.isEmpty()) {
            return Admission.refused(DEFAULT_RETRY_MILLIS);
        }
        if (pending.size() >= settings.maxPendingRequests()) {
            return Admission.refused(retryAfter(pendingTokens + tokens - pool.available()));
        }
        pending.add(new PendingReservation(requestId, tokens, ++sequence));
        pendingTokens += tokens;
        startRound(now);
        return Admission.pending();
    }

    /** Removes a waiting reservation; returns whether it was waiting. */
    boolean cancel(String requestId) {
        for (Iterator<PendingReservation> i = pending.iterator(); i.hasNext(); ) {
            PendingReservation waiting = i.next();
            if (waiting.requestId().equals(requestId)) {
                pendingTokens -= waiting.tokens();
                i.remove();
                return true;
            }
        }
        return false;
    }

    /** Handles a grant of a keeper. Each request for tokens accepts one grant. */
    void onGrant(String sender, TokenMessage.Grant grant, long now) {
        SentRequest sentRequest = sentRequests.get(grant.requestId());
        if (sentRequest == null || !sentRequest.keeper().equals(sender)) {
            return;
        }
        sentRequests.remove(grant.requestId());
        suspects.remove(sender);
        addBatch(sentRequest, grant, now);
        admitPending();
        if (sentRequest == current) {
            long missing = sentRequest.tokens() - grant.tokens();
            grantedInFull |= missing <= 0;
            // A keeper that gives no retry delay has no quota in force yet, so its reply says nothing about the rate.
            replyMissing |= grant.tokens() <= 0 && grant.retryAfterMillis() <= 0;
            if (missing > 0 && grant.retryAfterMillis() > 0) {
                refillPerMilli += (double) missing / grant.retryAfterMillis();
            }
            requestFromNext(now);
        }
    }

    /** Skips a keeper that has not replied in time, and starts a round if tokens are short. */
    void tick(long now) {
        sentRequests
                .values()
                .removeIf(sentRequest ->
                        sentRequest != current && now - sentRequest.sentAt() >= settings.batchLifetimeMillis());
        admitPending();
        if (current != null && now - current.sentAt() >= settings.askTimeoutMillis()) {
            suspects.put(current.keeper(), now + SUSPECT_MILLIS);
            replyMissing = true;
            requestFromNext(now);
        }
        startRound(now);
    }

    /** Starts a round if tokens are short and no round is in progress. */
    void startRound(long now) {
        boolean needed = !pending.isEmpty() || pool.available() < pool.stock(now) / 2;
        if (active || !needed || now < nextRoundAt || keepers.isEmpty()) {
            return;
        }
        active = true;
        roundStart = sequence;
        grantedInFull = false;
        replyMissing = false;
        position = 0;
        refillPerMilli = 0;
        suspects.values().removeIf(until -> until <= now);
        order = new ArrayList<>(keepers);
        if (pending.isEmpty()) {
            Collections.rotate(order, rotation++);
        }
        order.removeAll(suspects.keySet());
        if (!pending.isEmpty()) {
            keepers.stream().filter(suspects::containsKey).forEach(order::add);
        }
        requestFromNext(now);
    }

    /** Refuses all waiting reservations, for example when the organisation is removed. */
    void refuseAll() {
        while (!pending.isEmpty()) {
            refuse(pending.poll(), DEFAULT_RETRY_MILLIS);
        }
    }

    private void addBatch(SentRequest sentRequest, TokenMessage.Grant grant, long now) {
        if (grant.tokens() <= 0) {
            return;
        }
        long expiresAt = sentRequest.sentAt() + settings.spendMillis(grant.lifetimeMillis());
        PooledTokenBatch batch =
                new PooledTokenBatch(grant.batchId(), sentRequest.keeper(), grant.tokens(), now, expiresAt);
        pool.add(batch);
        pool.expire(now);
    }

    private void requestFromNext(long now) {
        current = null;
        long required = pendingTokens + pool.stock(now) - pool.available();
        if (required <= 0) {
            active = false;
            return;
        }
        if (position >= order.size()) {
            if (grantedInFull) {
                // The missing tokens are for requests that arrived during the round, so tokens are not necessarily
                // scarce. A pause here would delay every request of a host under steady load.
                active = false;
                startRound(now);
            } else {
                finishShortRound(now);
            }
            return;
        }
        String keeper = order.get(position++);
        current = new SentRequest(requestIds.get(), keeper, required, now);
        sentRequests.put(current.requestId(), current);
        effects.accept(new LimitEffect.Send(
                keeper,
                new TokenMessage.Request(
                        current.requestId(), pool.organisation().id(), required, false)));
    }

    private void finishShortRound(long now) {
        active = false;
        pool.recordScarcity(now);
        nextRoundAt = now + settings.roundIntervalMillis();
        lastRefillPerMilli = refillPerMilli;
        long shortage = -pool.available();
        // A missing reply, for example because the connection is not yet established, does not mean that the rate is
        // exceeded.
        roundsWithMissingReply = replyMissing ? roundsWithMissingReply + 1 : 0;
        boolean retryRound = replyMissing && roundsWithMissingReply < MAX_ROUNDS_WITH_MISSING_REPLY;
        ArrayDeque<PendingReservation> retained = new ArrayDeque<>();
        while (!pending.isEmpty()) {
            PendingReservation waiting = pending.poll();
            pendingTokens -= waiting.tokens();
            if (waiting.sequence() > roundStart || retryRound) {
                retained.add(waiting);
            } else if (!admit.test(waiting)) {
                shortage += waiting.tokens();
                refuse(waiting, retryAfter(shortage));
            }
        }
        retained.forEach(waiting -> pendingTokens += waiting.tokens());
        pending.addAll(retained);
    }

    private void admitPending() {
        while (!pending.isEmpty() && admit.test(pending.peek())) {
            pendingTokens -= pending.poll().tokens();
        }
    }

    private void refuse(PendingReservation waiting, long retryAfterMillis) {
        effects.accept(new LimitEffect.Decided(waiting.requestId(), Admission.refused(retryAfterMillis)));
    }

    private long retryAfter(long missingTokens) {
        double perMilli = lastRefillPerMilli > 0
                ? lastRefillPerMilli
                : pool.organisation().rateTokensPerSecond() / 1_000.0;
        return Math.min(MAX_RETRY_MILLIS, Math.max(1, (long) Math.ceil(missingTokens / perMilli)));
    }
}
