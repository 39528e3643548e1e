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
 * Acquires one shard of claims for this host, commits claims in batches and replies from the committed content.
 *
 * <p>A claim is granted only after it has been committed to the store. Each commit is a conditional write that expects
 * the version that this owner read last. The commit of an owner that was replaced therefore conflicts and grants no
 * claim. After a conflict or an unknown outcome, the owner reads the document again and replies to waiting claims from
 * it.
 *
 * <p>At most one store call is in flight. Only replies to calls of this owner may be passed to {@link #onStore}.
 */
public final class ClaimOwner {
    // A new owner of the shard is ready after a few store calls.
    private static final long NOT_OWNER_RETRY_MILLIS = 20;
    private static final long OUTAGE_RETRY_MILLIS = 1_000;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    // A live holder releases a shard that is assigned to another host. A holder that was restarted does not know that
    // it owned the shard, so the shard is acquired after this time in any case.
    private static final long HOLDER_TIMEOUT_MILLIS = 5_000;
    private static final long MAX_FULL_SHARD_RETRY_MILLIS = 3_600_000;

    private final int shard;
    private final String host;
    private final long incarnation;
    private final ClaimSettings settings;
    private final ClaimCodec codec;
    private final List<ReceivedClaimRequest> waiting = new ArrayList<>();
    private final ArrayDeque<ReceivedClaimOutcome> outcomes = new ArrayDeque<>();
    private Predicate<String> replaceable = holder -> false;
    private ClaimShardDocument document;
    private long version;
    private long loadedAt;
    private long termSeenAt;
    private ClaimShardDocument pendingDocument;
    private List<ReceivedClaimRequest> pendingRequests = List.of();
    private int pendingOutcomeCount;
    private boolean inFlight;
    private boolean mustRead;
    private boolean acquiring;
    private boolean resigning;
    private long backoff;
    private long nextCallAt = Long.MIN_VALUE;

    /**
     * Creates an owner that has not acquired the shard yet.
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
     * Starts to acquire the shard.
     *
     * @param replaceableHolder whether another holder may be replaced, for example because it is not a live host;
     *     replacing a live holder by mistake only makes its next commit conflict
     */
    public void acquire(Predicate<String> replaceableHolder) {
        replaceable = replaceableHolder;
        resigning = false;
        if (!owns() && !acquiring) {
            acquiring = true;
            mustRead = true;
        }
    }

    /** Starts to release the shard; waiting claims are committed first. */
    public void resign() {
        acquiring = false;
        resigning = owns();
    }

    /**
     * Returns whether this host owned the shard at its last store reply; only a successful commit confirms that it
     * does.
     */
    public boolean owns() {
        return document != null && document.isHeldBy(host, incarnation);
    }

    /** Returns whether this host does not own the shard, is not acquiring it and has no store call in flight. */
    public boolean isIdle() {
        return !owns() && !acquiring && !inFlight;
    }

    /**
     * Handles a request for a claim. The reply is immediate if the key is claimed, and follows the next commit
     * otherwise.
     */
    public List<ClaimEffect> onRequest(String sender, long senderIncarnation, ClaimMessage.Request request, long now) {
        ReceivedClaimRequest received = new ReceivedClaimRequest(sender, senderIncarnation, request, now);
        if (!owns() || resigning) {
            return List.of(reply(received, ClaimResults.unavailable(NOT_OWNER_RETRY_MILLIS)));
        }
        ClaimRecord claim = document.claims().get(request.keyDigest());
        if (claim != null) {
            return List.of(reply(received, ClaimResults.from(claim, received)));
        }
        if (backoff > 0 || waiting.size() >= settings.maxWaiting()) {
            return List.of(reply(received, ClaimResults.unavailable(OUTAGE_RETRY_MILLIS)));
        }
        if (waiting.stream().noneMatch(received::isSameRequest)) {
            waiting.add(received);
        }
        return tick(now);
    }

    /** Adds the outcome of a claimed request to the next commit. */
    public List<ClaimEffect> onOutcome(String sender, long senderIncarnation, ClaimMessage.Outcome outcome, long now) {
        if (!owns()) {
            return List.of();
        }
        if (outcome.released()) {
            waiting.removeIf(received -> received.host().equals(sender)
                    && received.incarnation() == senderIncarnation
                    && received.request().requestId().equals(outcome.requestId()));
        }
        if (outcomes.size() < settings.maxWaiting()) {
            outcomes.add(new ReceivedClaimOutcome(sender, senderIncarnation, outcome));
        }
        return tick(now);
    }

    /** Sends the store call that is due, and rejects claims that have waited too long. */
    public List<ClaimEffect> tick(long now) {
        List<ClaimEffect> effects = new ArrayList<>();
        for (Iterator<ReceivedClaimRequest> i = waiting.iterator(); i.hasNext(); ) {
            ReceivedClaimRequest received = i.next();
            if (now - received.receivedAt() >= settings.claimTimeoutMillis()) {
                i.remove();
                effects.add(reply(received, ClaimResults.unavailable(OUTAGE_RETRY_MILLIS)));
            }
        }
        if (!inFlight && now >= nextCallAt) {
            sendDueCall(now, effects);
        }
        return effects;
    }

    /** Handles the reply to the store call of this shard. */
    public List<ClaimEffect> onStore(StoreReply reply, long now) {
        if (!inFlight || !reply.key().equals(key(shard))) {
            return List.of();
        }
        inFlight = false;
        List<ClaimEffect> effects = new ArrayList<>();
        ClaimShardDocument written = pendingDocument;
        pendingDocument = null;
        nextCallAt = now;
        switch (reply.outcome()) {
            case OK -> {
                boolean isCommit = written != null && owns() && written.term() == document.term();
                adopt(written != null ? written : codec.decode(reply.value()), reply.version(), now);
                if (isCommit) {
                    finishCommit(now, effects);
                }
            }
            case ABSENT -> adopt(ClaimShardDocument.empty(), StoreRequest.Put.ABSENT, now);
            case CONFLICT -> mustRead = true;
            case UNAVAILABLE -> {
                // The store rejected the write, so the claims are certainly not in the store.
                rejectWaiting(OUTAGE_RETRY_MILLIS, effects);
                backOff(now);
            }
            default -> {
                mustRead = true;
                backOff(now);
            }
        }
        replyToWaiting(effects);
        effects.addAll(tick(now));
        return effects;
    }

    private void sendDueCall(long now, List<ClaimEffect> effects) {
        if (mustRead) {
            callStore(new StoreRequest.Read(key(shard)), effects);
        } else if (acquiring) {
            acquiring = canAcquire(now);
            if (acquiring) {
                writeDocument(document.withOwner(host, incarnation), now, effects);
            }
        } else if (owns()) {
            commit(now, effects);
        }
    }

    private boolean canAcquire(long now) {
        return document.holder().isEmpty()
                || document.holder().equals(host)
                || replaceable.test(document.holder())
                || now - termSeenAt >= HOLDER_TIMEOUT_MILLIS;
    }

    private void commit(long now, List<ClaimEffect> effects) {
        long clock = document.clock() + (now - loadedAt);
        if (waiting.isEmpty() && outcomes.isEmpty()) {
            if (resigning) {
                writeDocument(document.withoutOwner(clock), now, effects);
            }
            return;
        }
        ClaimShardUpdate next = new ClaimShardUpdate(document, settings, clock);
        next.applyOutcomes(outcomes);
        next.addClaims(waiting);
        pendingRequests = List.copyOf(waiting);
        pendingOutcomeCount = outcomes.size();
        if (next.isChanged()) {
            writeDocument(next.toDocument(document), now, effects);
        } else {
            finishCommit(now, effects);
        }
    }

    private void finishCommit(long now, List<ClaimEffect> effects) {
        for (int i = 0; i < pendingOutcomeCount; i++) {
            outcomes.poll();
        }
        pendingOutcomeCount = 0;
        replyToWaiting(effects);
        // Requests of this commit that have no claim did not fit into the shard.
        long retryAfter = fullShardRetryMillis(now);
        for (ReceivedClaimRequest received : pendingRequests) {
            if (waiting.remove(received)) {
                effects.add(reply(received, ClaimResults.unavailable(retryAfter)));
            }
        }
        pendingRequests = List.of();
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
            outcomes.clear();
            pendingOutcomeCount = 0;
        }
    }

    private void replyToWaiting(List<ClaimEffect> effects) {
        if (document == null || mustRead) {
            return;
        }
        for (Iterator<ReceivedClaimRequest> i = waiting.iterator(); i.hasNext(); ) {
            ReceivedClaimRequest received = i.next();
            ClaimRecord claim = document.claims().get(received.request().keyDigest());
            if (claim != null) {
                i.remove();
                effects.add(reply(received, ClaimResults.from(claim, received)));
            } else if (!owns()) {
                i.remove();
                effects.add(reply(received, ClaimResults.unavailable(NOT_OWNER_RETRY_MILLIS)));
            }
        }
    }

    private void rejectWaiting(long retryAfterMillis, List<ClaimEffect> effects) {
        waiting.forEach(received -> effects.add(reply(received, ClaimResults.unavailable(retryAfterMillis))));
        waiting.clear();
    }

    private long fullShardRetryMillis(long now) {
        long clock = document.clock() + (now - loadedAt);
        long oldest = document.claims().values().stream()
                .mapToLong(ClaimRecord::claimedAt)
                .min()
                .orElse(clock);
        long remainingMillis = settings.retentionMillis() - (clock - oldest);
        return Math.max(OUTAGE_RETRY_MILLIS, Math.min(MAX_FULL_SHARD_RETRY_MILLIS, remainingMillis));
    }

    private void writeDocument(ClaimShardDocument next, long now, List<ClaimEffect> effects) {
        pendingDocument = next;
        nextCallAt = now + settings.commitIntervalMillis();
        callStore(new StoreRequest.Put(key(shard), version, codec.encode(next)), effects);
    }

    private void callStore(StoreRequest request, List<ClaimEffect> effects) {
        inFlight = true;
        effects.add(new ClaimEffect.Store(ClaimEffect.Caller.OWNER, request));
    }

    private void backOff(long now) {
        backoff = Math.min(MAX_BACKOFF_MILLIS, Math.max(100, 2 * backoff));
        // Spreads the retries of different shards and hosts after an outage.
        nextCallAt = now + backoff / 2 + Math.floorMod(Objects.hash(host, shard, now), backoff / 2);
        mustRead = true;
    }

    private static ClaimEffect reply(ReceivedClaimRequest received, ClaimResult result) {
        return new ClaimEffect.Send(
                received.host(), new ClaimMessage.Reply(received.request().requestId(), result));
    }
}
