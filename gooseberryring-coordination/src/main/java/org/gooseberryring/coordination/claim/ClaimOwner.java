package org.gooseberryring.coordination.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/**
 * This host's side of one shard of claims: takes the shard, commits claims in groups and answers from what is committed.
 *
 * <p>A claim is granted only once it is in the store. All commits are conditional updates of the version that this owner
 * read last, so the commit of an owner that was replaced conflicts and grants nothing. After a conflict or an unknown
 * outcome the document is read back, and waiting claims are answered from what it contains.
 *
 * <p>At most one store call is in flight. The host passes its reply, and no other, to {@link #onStore}.
 */
public final class ClaimOwner {
    // A shard that is being taken over is ready after a few store calls.
    private static final long NOT_OWNER_RETRY_MILLIS = 20;
    private static final long OUTAGE_RETRY_MILLIS = 1_000;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    // A live holder gives a shard up by itself when another host should own it. One that was restarted does not know
    // that it held the shard, so after this time the shard is taken anyway.
    private static final long YIELD_MILLIS = 5_000;
    private static final long MAX_FULL_RETRY_MILLIS = 3_600_000;

    private final int shard;
    private final String host;
    private final long incarnation;
    private final ClaimSettings settings;
    private final ClaimCodec codec;
    private final List<ReceivedClaimRequest> waiting = new ArrayList<>();
    private final ArrayDeque<ClaimSettlement> settlements = new ArrayDeque<>();
    private Predicate<String> replaceable = holder -> false;
    private ClaimShardDocument document;
    private long version;
    private long loadedAt;
    private long termSeenAt;
    private ClaimShardDocument draft;
    private List<ReceivedClaimRequest> draftAsks = List.of();
    private int draftSettlements;
    private boolean inFlight;
    private boolean mustRead;
    private boolean acquiring;
    private boolean resigning;
    private long backoff;
    private long nextCallAt = Long.MIN_VALUE;

    /**
     * Creates the side of a host that does not own the shard.
     *
     * @param shard number of the shard
     * @param host identifier of this host
     * @param incarnation incarnation of this process
     * @param settings settings of the claims
     * @param codec converts shard documents
     */
    public ClaimOwner(int shard, String host, long incarnation, ClaimSettings settings, ClaimCodec codec) {
        this.shard = shard;
        this.host = host;
        this.incarnation = incarnation;
        this.settings = settings;
        this.codec = codec;
    }

    /** Returns the key of a shard's store object. */
    public static String key(int shard) {
        return "claims/" + shard;
    }

    /**
     * Begins to take the shard.
     *
     * @param replaceableHolder whether a holder other than this host may be replaced, as when it is not a live host;
     *     a wrong guess costs the replaced holder its next commit and nothing else
     */
    public void acquire(Predicate<String> replaceableHolder) {
        replaceable = replaceableHolder;
        resigning = false;
        if (!owns() && !acquiring) {
            acquiring = true;
            mustRead = true;
        }
    }

    /** Begins to give the shard up; waiting claims are committed first. */
    public void resign() {
        acquiring = false;
        resigning = owns();
    }

    /** Returns whether this host owns the shard as far as it knows; only a commit shows that it still does. */
    public boolean owns() {
        return document != null && document.heldBy(host, incarnation);
    }

    /** Returns whether nothing is left to do before this host may stop. */
    public boolean idle() {
        return !owns() && !acquiring && !inFlight;
    }

    /** Answers a request for a claim, at once if the key is claimed and after the next commit otherwise. */
    public List<ClaimEffect> onRequest(String sender, long senderIncarnation, ClaimMessage.Request request, long now) {
        ReceivedClaimRequest ask = new ReceivedClaimRequest(sender, senderIncarnation, request, now);
        if (!owns() || resigning) {
            return List.of(reply(ask, ClaimResults.unavailable(NOT_OWNER_RETRY_MILLIS)));
        }
        ClaimRecord claim = document.claims().get(request.keyDigest());
        if (claim != null) {
            return List.of(reply(ask, ClaimResults.from(claim, ask)));
        }
        if (backoff > 0 || waiting.size() >= settings.maxWaiting()) {
            return List.of(reply(ask, ClaimResults.unavailable(OUTAGE_RETRY_MILLIS)));
        }
        if (waiting.stream().noneMatch(ask::sameAs)) {
            waiting.add(ask);
        }
        return tick(now);
    }

    /** Notes the outcome of a claimed request for the next commit. */
    public List<ClaimEffect> onOutcome(String sender, long senderIncarnation, ClaimMessage.Outcome outcome, long now) {
        if (!owns()) {
            return List.of();
        }
        if (outcome.released()) {
            waiting.removeIf(ask -> ask.host().equals(sender)
                    && ask.incarnation() == senderIncarnation
                    && ask.request().requestId().equals(outcome.requestId()));
        }
        if (settlements.size() < settings.maxWaiting()) {
            settlements.add(new ClaimSettlement(sender, senderIncarnation, outcome));
        }
        return tick(now);
    }

    /** Makes the store call that is due, and refuses claims that waited for too long. */
    public List<ClaimEffect> tick(long now) {
        List<ClaimEffect> effects = new ArrayList<>();
        for (Iterator<ReceivedClaimRequest> i = waiting.iterator(); i.hasNext(); ) {
            ReceivedClaimRequest ask = i.next();
            if (now - ask.receivedAt() >= settings.budgetMillis()) {
                i.remove();
                effects.add(reply(ask, ClaimResults.unavailable(OUTAGE_RETRY_MILLIS)));
            }
        }
        if (!inFlight && now >= nextCallAt) {
            callStore(now, effects);
        }
        return effects;
    }

    /** Takes the reply to this shard's store call. */
    public List<ClaimEffect> onStore(StoreReply reply, long now) {
        if (!inFlight || !reply.key().equals(key(shard))) {
            return List.of();
        }
        inFlight = false;
        List<ClaimEffect> effects = new ArrayList<>();
        ClaimShardDocument written = draft;
        draft = null;
        nextCallAt = now;
        switch (reply.outcome()) {
            case OK -> {
                boolean commit = written != null && owns() && written.term() == document.term();
                adopt(written != null ? written : codec.decode(reply.value()), reply.version(), now);
                if (commit) {
                    finishCommit(now, effects);
                }
            }
            case ABSENT -> adopt(ClaimShardDocument.empty(), StoreRequest.Put.ABSENT, now);
            case CONFLICT -> mustRead = true;
            case UNAVAILABLE -> {
                // Nothing was written, so the claims certainly are not in the store.
                refuseWaiting(OUTAGE_RETRY_MILLIS, effects);
                delay(now);
            }
            default -> {
                mustRead = true;
                delay(now);
            }
        }
        answerWaiting(effects);
        effects.addAll(tick(now));
        return effects;
    }

    private void callStore(long now, List<ClaimEffect> effects) {
        if (mustRead) {
            call(new StoreRequest.Read(key(shard)), effects);
        } else if (acquiring) {
            acquiring = mayTake(now);
            if (acquiring) {
                put(document.takenBy(host, incarnation), now, effects);
            }
        } else if (owns()) {
            commit(now, effects);
        }
    }

    private boolean mayTake(long now) {
        return document.holder().isEmpty()
                || document.holder().equals(host)
                || replaceable.test(document.holder())
                || now - termSeenAt >= YIELD_MILLIS;
    }

    private void commit(long now, List<ClaimEffect> effects) {
        long clock = document.clock() + (now - loadedAt);
        if (waiting.isEmpty() && settlements.isEmpty()) {
            if (resigning) {
                put(document.resigned(clock), now, effects);
            }
            return;
        }
        ClaimShardUpdate next = new ClaimShardUpdate(document, settings, clock);
        next.settle(settlements);
        next.claim(waiting);
        draftAsks = List.copyOf(waiting);
        draftSettlements = settlements.size();
        if (next.changed()) {
            put(next.document(document), now, effects);
        } else {
            finishCommit(now, effects);
        }
    }

    private void finishCommit(long now, List<ClaimEffect> effects) {
        for (int i = 0; i < draftSettlements; i++) {
            settlements.poll();
        }
        draftSettlements = 0;
        answerWaiting(effects);
        // What was in the draft and has no claim now found no room.
        long retryAfter = fullRetryMillis(now);
        for (ReceivedClaimRequest ask : draftAsks) {
            if (waiting.remove(ask)) {
                effects.add(reply(ask, ClaimResults.unavailable(retryAfter)));
            }
        }
        draftAsks = List.of();
        nextCallAt = now + settings.commitIntervalMillis();
    }

    private void adopt(ClaimShardDocument read, long readVersion, long now) {
        if (document == null || document.term() != read.term()) {
            termSeenAt = now;
        }
        document = read;
        version = readVersion;
        loadedAt = now;
        mustRead = false;
        backoff = 0;
        if (owns()) {
            acquiring = false;
        } else {
            resigning = false;
            settlements.clear();
            draftSettlements = 0;
        }
    }

    private void answerWaiting(List<ClaimEffect> effects) {
        if (document == null || mustRead) {
            return;
        }
        for (Iterator<ReceivedClaimRequest> i = waiting.iterator(); i.hasNext(); ) {
            ReceivedClaimRequest ask = i.next();
            ClaimRecord claim = document.claims().get(ask.request().keyDigest());
            if (claim != null) {
                i.remove();
                effects.add(reply(ask, ClaimResults.from(claim, ask)));
            } else if (!owns()) {
                i.remove();
                effects.add(reply(ask, ClaimResults.unavailable(NOT_OWNER_RETRY_MILLIS)));
            }
        }
    }

    private void refuseWaiting(long retryAfterMillis, List<ClaimEffect> effects) {
        waiting.forEach(ask -> effects.add(reply(ask, ClaimResults.unavailable(retryAfterMillis))));
        waiting.clear();
    }

    private long fullRetryMillis(long now) {
        long clock = document.clock() + (now - loadedAt);
        long oldest = document.claims().values().stream()
                .mapToLong(ClaimRecord::claimedAt)
                .min()
                .orElse(clock);
        long left = settings.retentionMillis() - (clock - oldest);
        return Math.max(OUTAGE_RETRY_MILLIS, Math.min(MAX_FULL_RETRY_MILLIS, left));
    }

    private void put(ClaimShardDocument next, long now, List<ClaimEffect> effects) {
        draft = next;
        nextCallAt = now + settings.commitIntervalMillis();
        call(new StoreRequest.Put(key(shard), version, codec.encode(next)), effects);
    }

    private void call(StoreRequest request, List<ClaimEffect> effects) {
        inFlight = true;
        effects.add(new ClaimEffect.Store(ClaimEffect.Caller.OWNER, request));
    }

    private void delay(long now) {
        backoff = Math.min(MAX_BACKOFF_MILLIS, Math.max(100, 2 * backoff));
        // Owners of different shards come back at different times after an outage.
        nextCallAt = now + backoff / 2 + Math.floorMod(Objects.hash(host, shard, now), backoff / 2);
        mustRead = true;
    }

    private static ClaimEffect reply(ReceivedClaimRequest ask, ClaimResult answer) {
        return new ClaimEffect.Send(
                ask.host(), new ClaimMessage.Reply(ask.request().requestId(), answer));
    }
}
