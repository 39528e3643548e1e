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
    private static final int MAX_ROUNDS_WITHOUT_ANSWER = 5;
    private static final long SUSPECT_MILLIS = 1_000;
    // Retry delay if no keeper can predict when tokens will be available.
    private static final long UNKNOWN_RETRY_MILLIS = 1_000;
    // Retry delay of a request that exceeds the organisation's burst. It can never be admitted, so an early retry is
    // useless.
    private static final long NEVER_RETRY_MILLIS = 3_600_000;

    /** Request for tokens that has been sent to a keeper. */
    private record Ask(String requestId, String keeper, long tokens, long sentAt) {}

    private final OrganisationTokenPool account;
    private final LimitSettings settings;
    private final Supplier<String> requestIds;
    private final Consumer<LimitEffect> effects;
    private final Predicate<PendingReservation> admit;
    private final ArrayDeque<PendingReservation> pending = new ArrayDeque<>();
    private final Map<String, Ask> asks = new HashMap<>();
    private final Map<String, Long> suspects = new HashMap<>();
    private List<String> keepers = List.of();
    private List<String> order = List.of();
    private Ask current;
    private int position;
    private boolean active;
    private boolean unanswered;
    private int roundsWithoutAnswer;
    private boolean grantedInFull;
    private long nextRoundAt = Long.MIN_VALUE;
    private long roundStart;
    private double fillPerMilli;
    private double lastFillPerMilli;
    private long pendingTokens;
    private long sequence;
    private int rotation;

    /**
     * Creates a fetcher without keepers.
     *
     * @param admit takes the tokens of a waiting reservation; returns false if the token pool has too few
     */
    TokenFetcher(
            OrganisationTokenPool account,
            LimitSettings settings,
            Supplier<String> requestIds,
            Consumer<LimitEffect> effects,
            Predicate<PendingReservation> admit) {
        this.account = account;
        this.settings = settings;
        this.requestIds = requestIds;
        this.effects = effects;
        this.admit = admit;
    }

    void keepers(List<String> nearestFirst) {
        keepers = List.copyOf(nearestFirst);
        suspects.keySet().retainAll(keepers);
    }

    boolean idle() {
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
        if (tokens > account.organisation().burstTokens()
                || account.organisation().rateTokensPerSecond() <= 0) {
            return Admission.refused(NEVER_RETRY_MILLIS);
        }
        if (keepers.isEmpty()) {
            return Admission.refused(UNKNOWN_RETRY_MILLIS);
        }
        if (pending.size() >= settings.maxPendingRequests()) {
            return Admission.refused(retryAfter(pendingTokens + tokens - account.available()));
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
        Ask ask = asks.get(grant.requestId());
        if (ask == null || !ask.keeper().equals(sender)) {
            return;
        }
        asks.remove(grant.requestId());
        suspects.remove(sender);
        accept(ask, grant, now);
        serve();
        if (ask == current) {
            long missing = ask.tokens() - grant.tokens();
            grantedInFull |= missing <= 0;
            // A keeper that gives no retry delay has no quota in force yet, so its reply says nothing about the rate.
            unanswered |= grant.tokens() <= 0 && grant.retryAfterMillis() <= 0;
            if (missing > 0 && grant.retryAfterMillis() > 0) {
                fillPerMilli += (double) missing / grant.retryAfterMillis();
            }
            askNext(now);
        }
    }

    /** Skips a keeper that has not replied in time, and starts a round if tokens are short. */
    void tick(long now) {
        asks.values().removeIf(ask -> ask != current && now - ask.sentAt() >= settings.batchLifetimeMillis());
        serve();
        if (current != null && now - current.sentAt() >= settings.askTimeoutMillis()) {
            suspects.put(current.keeper(), now + SUSPECT_MILLIS);
            unanswered = true;
            askNext(now);
        }
        startRound(now);
    }

    /** Starts a round if tokens are short and no round is in progress. */
    void startRound(long now) {
        boolean needed = !pending.isEmpty() || account.available() < account.stock(now) / 2;
        if (active || !needed || now < nextRoundAt || keepers.isEmpty()) {
            return;
        }
        active = true;
        roundStart = sequence;
        grantedInFull = false;
        unanswered = false;
        position = 0;
        fillPerMilli = 0;
        suspects.values().removeIf(until -> until <= now);
        order = new ArrayList<>(keepers);
        if (pending.isEmpty()) {
            Collections.rotate(order, rotation++);
        }
        order.removeAll(suspects.keySet());
        if (!pending.isEmpty()) {
            keepers.stream().filter(suspects::containsKey).forEach(order::add);
        }
        askNext(now);
    }

    /** Refuses all waiting reservations, for example when the organisation is removed. */
    void refuseAll() {
        while (!pending.isEmpty()) {
            refuse(pending.poll(), UNKNOWN_RETRY_MILLIS);
        }
    }

    private void accept(Ask ask, TokenMessage.Grant grant, long now) {
        if (grant.tokens() <= 0) {
            return;
        }
        long expiresAt = ask.sentAt() + settings.spendMillis(grant.lifetimeMillis());
        PooledTokenBatch batch = new PooledTokenBatch(grant.batchId(), ask.keeper(), grant.tokens(), now, expiresAt);
        account.add(batch);
        account.expire(now);
    }

    private void askNext(long now) {
        current = null;
        long wanted = pendingTokens + account.stock(now) - account.available();
        if (wanted <= 0) {
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
                finishShort(now);
            }
            return;
        }
        String keeper = order.get(position++);
        current = new Ask(requestIds.get(), keeper, wanted, now);
        asks.put(current.requestId(), current);
        effects.accept(new LimitEffect.Send(
                keeper,
                new TokenMessage.Request(
                        current.requestId(), account.organisation().id(), wanted, false)));
    }

    private void finishShort(long now) {
        active = false;
        account.scarce(now);
        nextRoundAt = now + settings.roundIntervalMillis();
        lastFillPerMilli = fillPerMilli;
        long shortage = -account.available();
        // A missing reply, for example because the connection is not yet established, does not mean that the rate is
        // exceeded.
        roundsWithoutAnswer = unanswered ? roundsWithoutAnswer + 1 : 0;
        boolean tryAgain = unanswered && roundsWithoutAnswer < MAX_ROUNDS_WITHOUT_ANSWER;
        ArrayDeque<PendingReservation> later = new ArrayDeque<>();
        while (!pending.isEmpty()) {
            PendingReservation waiting = pending.poll();
            pendingTokens -= waiting.tokens();
            if (waiting.sequence() > roundStart || tryAgain) {
                later.add(waiting);
            } else if (!admit.test(waiting)) {
                shortage += waiting.tokens();
                refuse(waiting, retryAfter(shortage));
            }
        }
        later.forEach(waiting -> pendingTokens += waiting.tokens());
        pending.addAll(later);
    }

    private void serve() {
        while (!pending.isEmpty() && admit.test(pending.peek())) {
            pendingTokens -= pending.poll().tokens();
        }
    }

    private void refuse(PendingReservation waiting, long retryAfterMillis) {
        effects.accept(new LimitEffect.Decided(waiting.requestId(), Admission.refused(retryAfterMillis)));
    }

    private long retryAfter(long missingTokens) {
        double perMilli =
                lastFillPerMilli > 0 ? lastFillPerMilli : account.organisation().rateTokensPerSecond() / 1_000.0;
        return Math.min(NEVER_RETRY_MILLIS, Math.max(1, (long) Math.ceil(missingTokens / perMilli)));
    }
}
