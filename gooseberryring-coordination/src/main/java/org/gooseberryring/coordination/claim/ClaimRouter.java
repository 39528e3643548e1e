package org.gooseberryring.coordination.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.limit.KeeperChoice;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;

/**
 * Requests the claims of this host from the shard owners and reports one final result for each claim.
 *
 * <p>A claim is first requested from the host that rendezvous hashing chooses for its shard. If that host does not own
 * the shard, the router reads the owner from the shard object. A pending claim may be requested repeatedly and from
 * different owners, because each request accepts one result and is dispatched once. An abandoned claim is reported as
 * released: its request was never dispatched, and a late grant is ignored.
 */
public final class ClaimRouter {
    // Outcomes are not acknowledged, so they are sent several times; repeated outcomes have no effect.
    private static final int OUTCOME_SEND_COUNT = 3;
    private static final long OUTCOME_INTERVAL_MILLIS = 500;
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;
    // A key whose entry was evicted keeps the result MAY_HAVE_RUN, which is safe.
    private static final int MAX_ENTRIES = 50_000;

    /** Claim that waits for its result. */
    private static final class PendingClaim {
        private final ClaimMessage.Request request;
        private final long startedAt;
        private long nextSendAt;
        private boolean sent;

        private PendingClaim(ClaimMessage.Request request, long now) {
            this.request = request;
            this.startedAt = now;
            this.nextSendAt = now;
        }
    }

    /** Outcome that is sent to the shard owner several times. */
    private static final class OutcomeReport {
        private final ClaimMessage.Outcome outcome;
        private int sends;
        private long sendAt;

        private OutcomeReport(ClaimMessage.Outcome outcome, long now) {
            this.outcome = outcome;
            this.sendAt = now;
        }
    }

    private final ClaimSettings settings;
    private final ClaimCodec codec;
    private final Map<String, PendingClaim> pending = new LinkedHashMap<>();
    private final Map<String, ClaimMessage.Request> granted = boundedMap();
    private final Map<String, ClaimMessage.Request> abandoned = boundedMap();
    private final ArrayDeque<OutcomeReport> reports = new ArrayDeque<>();
    private final Map<Integer, String> holders = new HashMap<>();
    private final Map<Integer, Boolean> pendingReads = new HashMap<>();
    private Set<String> members = Set.of();

    /**
     * Creates a router without known hosts.
     *
     * @param settings settings of the claims
     * @param codec converts shard documents
     */
    public ClaimRouter(ClaimSettings settings, ClaimCodec codec) {
        this.settings = settings;
        this.codec = codec;
    }

    /** Returns the digest of an idempotency key, in hexadecimal. */
    public static String keyDigest(String organisation, String idempotencyKey) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(organisation.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(idempotencyKey.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Java runtime does not support SHA-256", e);
        }
    }

    /** Returns the shard of a key's digest. */
    public static int shard(String keyDigest, int shards) {
        return (int) (Long.parseLong(keyDigest, 0, 8, 16) % shards);
    }

    /** Returns the host that should own a shard, or null if there are no live hosts. */
    public static String preferredOwner(int shard, Collection<String> liveHosts) {
        return liveHosts.isEmpty()
                ? null
                : KeeperChoice.rank(ClaimOwner.key(shard), liveHosts).get(0);
    }

    /** Updates the live hosts, including this host. */
    public void onMembersChanged(Collection<String> liveHosts) {
        members = Set.copyOf(liveHosts);
        holders.values().removeIf(holder -> !members.contains(holder));
    }

    /**
     * Requests a claim; {@link ClaimEffect.ReportResult} follows.
     *
     * @param requestId identifier of the request; each may claim once
     * @param keyDigest digest from {@link #keyDigest}
     * @param requestDigest digest of the request
     * @param now monotonic time in milliseconds
     */
    public List<ClaimEffect> claim(String requestId, String keyDigest, String requestDigest, long now) {
        int shard = shard(keyDigest, settings.shards());
        PendingClaim claim =
                new PendingClaim(new ClaimMessage.Request(requestId, keyDigest, requestDigest, shard), now);
        pending.put(requestId, claim);
        List<ClaimEffect> effects = new ArrayList<>();
        sendRequest(claim, now, effects);
        return effects;
    }

    /** Releases the claim of a request that certainly did not run, or that no longer waits for its claim. */
    public List<ClaimEffect> release(String requestId, long now) {
        return reportOutcome(requestId, true, 0, null, now);
    }

    /** Records the response to a request that ran. */
    public List<ClaimEffect> record(String requestId, int status, byte[] body, long now) {
        return reportOutcome(requestId, false, status, body, now);
    }

    /**
     * Discards a granted claim whose request may have run without a complete response; the claim stays in the store.
     */
    public void discard(String requestId) {
        granted.remove(requestId);
    }

    /** Handles the reply of an owner; only the first result of a pending claim is used. */
    public List<ClaimEffect> onReply(String sender, ClaimMessage.Reply reply, long now) {
        PendingClaim claim = pending.get(reply.requestId());
        List<ClaimEffect> effects = new ArrayList<>();
        if (claim == null) {
            ClaimMessage.Request abandonedRequest = abandoned.get(reply.requestId());
            if (abandonedRequest != null && reply.result().decision() == ClaimResult.Decision.GRANTED) {
                addReport(
                        new ClaimMessage.Outcome(
                                abandonedRequest.keyDigest(),
                                abandonedRequest.shard(),
                                true,
                                0,
                                null,
                                abandonedRequest.requestId()),
                        now);
                sendReports(now, effects);
            }
            return effects;
        }
        if (reply.result().decision() != ClaimResult.Decision.UNAVAILABLE) {
            finish(claim, reply.result(), effects);
            return effects;
        }
        long retryAfter = reply.result().retryAfterMillis();
        if (now + retryAfter - claim.startedAt >= settings.claimTimeoutMillis()) {
            abandon(claim, retryAfter, now, effects);
            return effects;
        }
        if (sender.equals(holders.get(claim.request.shard()))) {
            holders.remove(claim.request.shard());
        }
        claim.nextSendAt = now + retryAfter;
        readOwner(claim.request.shard(), effects);
        return effects;
    }

    /** Handles the reply to a read of a shard object, which contains the owner of the shard. */
    public List<ClaimEffect> onStore(StoreReply reply, long now) {
        Integer shard = shardOfKey(reply.key());
        if (shard == null || pendingReads.remove(shard) == null) {
            return List.of();
        }
        if (reply.outcome() == StoreOutcome.OK) {
            String holder = codec.decode(reply.value()).holder();
            if (members.contains(holder)) {
                holders.put(shard, holder);
            }
        }
        return tick(now);
    }

    /** Repeats requests whose reply is overdue, abandons claims that exceeded their time-out, and repeats outcomes. */
    public List<ClaimEffect> tick(long now) {
        List<ClaimEffect> effects = new ArrayList<>();
        for (PendingClaim claim : List.copyOf(pending.values())) {
            if (now - claim.startedAt >= settings.claimTimeoutMillis()) {
                abandon(claim, UNAVAILABLE_RETRY_MILLIS, now, effects);
            } else if (now >= claim.nextSendAt) {
                if (claim.sent) {
                    // The owner may be dead or slow; the shard object shows whether there is a new owner.
                    readOwner(claim.request.shard(), effects);
                }
                sendRequest(claim, now, effects);
            }
        }
        sendReports(now, effects);
        return effects;
    }

    private void sendRequest(PendingClaim claim, long now, List<ClaimEffect> effects) {
        String owner = owner(claim.request.shard());
        if (owner == null) {
            abandon(claim, UNAVAILABLE_RETRY_MILLIS, now, effects);
            return;
        }
        claim.sent = true;
        claim.nextSendAt = now + settings.requestTimeoutMillis();
        effects.add(new ClaimEffect.Send(owner, claim.request));
    }

    private String owner(int shard) {
        String holder = holders.get(shard);
        return holder != null ? holder : preferredOwner(shard, members);
    }

    private void readOwner(int shard, List<ClaimEffect> effects) {
        if (pendingReads.putIfAbsent(shard, true) == null) {
            effects.add(new ClaimEffect.Store(ClaimEffect.Caller.ROUTER, new StoreRequest.Read(ClaimOwner.key(shard))));
        }
    }

    private void finish(PendingClaim claim, ClaimResult result, List<ClaimEffect> effects) {
        pending.remove(claim.request.requestId());
        if (result.decision() == ClaimResult.Decision.GRANTED) {
            granted.put(claim.request.requestId(), claim.request);
        }
        effects.add(new ClaimEffect.ReportResult(claim.request.requestId(), result));
    }

    private void abandon(PendingClaim claim, long retryAfterMillis, long now, List<ClaimEffect> effects) {
        ClaimMessage.Request request = claim.request;
        pending.remove(request.requestId());
        if (claim.sent) {
            abandoned.put(request.requestId(), request);
            addReport(
                    new ClaimMessage.Outcome(request.keyDigest(), request.shard(), true, 0, null, request.requestId()),
                    now);
        }
        effects.add(new ClaimEffect.ReportResult(request.requestId(), ClaimResults.unavailable(retryAfterMillis)));
    }

    private List<ClaimEffect> reportOutcome(String requestId, boolean released, int status, byte[] body, long now) {
        List<ClaimEffect> effects = new ArrayList<>();
        ClaimMessage.Request request = granted.remove(requestId);
        PendingClaim waiting = released ? pending.remove(requestId) : null;
        if (waiting != null) {
            request = waiting.request;
            abandoned.put(requestId, request);
        }
        if (request != null) {
            addReport(
                    new ClaimMessage.Outcome(request.keyDigest(), request.shard(), released, status, body, requestId),
                    now);
            sendReports(now, effects);
        }
        return effects;
    }

    private void addReport(ClaimMessage.Outcome outcome, long now) {
        if (reports.size() >= MAX_ENTRIES) {
            reports.poll();
        }
        reports.add(new OutcomeReport(outcome, now));
    }

    private void sendReports(long now, List<ClaimEffect> effects) {
        for (OutcomeReport report : reports) {
            String owner = owner(report.outcome.shard());
            if (now >= report.sendAt && owner != null) {
                effects.add(new ClaimEffect.Send(owner, report.outcome));
                report.sends++;
                report.sendAt = now + OUTCOME_INTERVAL_MILLIS;
            }
        }
        reports.removeIf(report -> report.sends >= OUTCOME_SEND_COUNT);
    }

    private static Map<String, ClaimMessage.Request> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, ClaimMessage.Request> eldest) {
                return size() > MAX_ENTRIES;
            }
        };
    }

    private static Integer shardOfKey(String key) {
        String prefix = ClaimOwner.key(0).substring(0, ClaimOwner.key(0).length() - 1);
        return key.startsWith(prefix) ? Integer.valueOf(key.substring(prefix.length())) : null;
    }
}
