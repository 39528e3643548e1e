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
 * Asks the owners of shards for this host's claims and gives each claim one final answer.
 *
 * <p>The host that rendezvous hashing chooses for a shard is asked first. If it does not own the shard, the shard object
 * names the owner. A claim may be asked for again while it waits, also from another owner, because a request takes one
 * answer and is dispatched once. A claim that was given up is reported as released: its request was never dispatched,
 * and a late grant for it is ignored.
 */
public final class ClaimRouter {
    // Outcomes are repeated because they are not acknowledged; they change nothing the second time.
    private static final int OUTCOME_SENDS = 3;
    private static final long OUTCOME_INTERVAL_MILLIS = 500;
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;
    // A forgotten entry leaves its key with the answer "may have run", which is safe.
    private static final int MAX_REMEMBERED = 50_000;

    /** Claim that waits for its answer. */
    private static final class Pending {
        private final ClaimMessage.Request request;
        private final long startedAt;
        private long askAt;
        private boolean asked;

        private Pending(ClaimMessage.Request request, long now) {
            this.request = request;
            this.startedAt = now;
            this.askAt = now;
        }
    }

    /** Outcome that is still to be sent. */
    private static final class Report {
        private final ClaimMessage.Outcome outcome;
        private int sends;
        private long sendAt;

        private Report(ClaimMessage.Outcome outcome, long now) {
            this.outcome = outcome;
            this.sendAt = now;
        }
    }

    private final ClaimSettings settings;
    private final ClaimCodec codec;
    private final Map<String, Pending> pending = new LinkedHashMap<>();
    private final Map<String, ClaimMessage.Request> granted = bounded();
    private final Map<String, ClaimMessage.Request> abandoned = bounded();
    private final ArrayDeque<Report> reports = new ArrayDeque<>();
    private final Map<Integer, String> holders = new HashMap<>();
    private final Map<Integer, Boolean> reading = new HashMap<>();
    private Set<String> members = Set.of();

    /**
     * Creates a router that knows no hosts.
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
            throw new IllegalStateException("the platform has no SHA-256", e);
        }
    }

    /** Returns the shard of a key's digest. */
    public static int shard(String keyDigest, int shards) {
        return (int) (Long.parseLong(keyDigest, 0, 8, 16) % shards);
    }

    /** Returns the host that should own a shard. */
    public static String chosenOwner(int shard, Collection<String> liveHosts) {
        return liveHosts.isEmpty()
                ? null
                : KeeperChoice.rank(ClaimOwner.key(shard), liveHosts).get(0);
    }

    /** Adopts the live hosts, this host included. */
    public void onMembersChanged(Collection<String> liveHosts) {
        members = Set.copyOf(liveHosts);
        holders.values().removeIf(holder -> !members.contains(holder));
    }

    /**
     * Asks for a claim; {@link ClaimEffect.ReportResult} follows.
     *
     * @param requestId identifier of the request; each may claim once
     * @param keyDigest digest from {@link #keyDigest}
     * @param requestDigest digest of the request
     * @param now monotonic time in milliseconds
     */
    public List<ClaimEffect> claim(String requestId, String keyDigest, String requestDigest, long now) {
        int shard = shard(keyDigest, settings.shards());
        Pending claim = new Pending(new ClaimMessage.Request(requestId, keyDigest, requestDigest, shard), now);
        pending.put(requestId, claim);
        List<ClaimEffect> effects = new ArrayList<>();
        ask(claim, now, effects);
        return effects;
    }

    /** Releases the claim of a request that certainly did not run, or that no longer waits for its claim. */
    public List<ClaimEffect> release(String requestId, long now) {
        return settle(requestId, true, 0, null, now);
    }

    /** Records the answer of a request that ran. */
    public List<ClaimEffect> record(String requestId, int status, byte[] body, long now) {
        return settle(requestId, false, status, body, now);
    }

    /** Forgets a granted claim whose request may have run without a complete answer; the claim stays. */
    public void discard(String requestId) {
        granted.remove(requestId);
    }

    /** Takes an owner's answer; only the first one of a waiting claim counts. */
    public List<ClaimEffect> onReply(String sender, ClaimMessage.Reply reply, long now) {
        Pending claim = pending.get(reply.requestId());
        List<ClaimEffect> effects = new ArrayList<>();
        if (claim == null) {
            ClaimMessage.Request late = abandoned.get(reply.requestId());
            if (late != null && reply.result().decision() == ClaimResult.Decision.GRANTED) {
                report(new ClaimMessage.Outcome(late.keyDigest(), late.shard(), true, 0, null, late.requestId()), now);
                sendReports(now, effects);
            }
            return effects;
        }
        if (reply.result().decision() != ClaimResult.Decision.UNAVAILABLE) {
            finish(claim, reply.result(), effects);
            return effects;
        }
        long retryAfter = reply.result().retryAfterMillis();
        if (now + retryAfter - claim.startedAt >= settings.budgetMillis()) {
            abandon(claim, retryAfter, now, effects);
            return effects;
        }
        if (sender.equals(holders.get(claim.request.shard()))) {
            holders.remove(claim.request.shard());
        }
        claim.askAt = now + retryAfter;
        resolve(claim.request.shard(), effects);
        return effects;
    }

    /** Takes the content of a shard object that was read to find its owner. */
    public List<ClaimEffect> onStore(StoreReply reply, long now) {
        Integer shard = shardOf(reply.key());
        if (shard == null || reading.remove(shard) == null) {
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

    /** Asks again where an answer is overdue, gives up claims that took too long, and repeats outcomes. */
    public List<ClaimEffect> tick(long now) {
        List<ClaimEffect> effects = new ArrayList<>();
        for (Pending claim : List.copyOf(pending.values())) {
            if (now - claim.startedAt >= settings.budgetMillis()) {
                abandon(claim, UNAVAILABLE_RETRY_MILLIS, now, effects);
            } else if (now >= claim.askAt) {
                if (claim.asked) {
                    // The owner may be dead or slow; the shard object tells whether there is a new one.
                    resolve(claim.request.shard(), effects);
                }
                ask(claim, now, effects);
            }
        }
        sendReports(now, effects);
        return effects;
    }

    private void ask(Pending claim, long now, List<ClaimEffect> effects) {
        String owner = owner(claim.request.shard());
        if (owner == null) {
            abandon(claim, UNAVAILABLE_RETRY_MILLIS, now, effects);
            return;
        }
        claim.asked = true;
        claim.askAt = now + settings.askTimeoutMillis();
        effects.add(new ClaimEffect.Send(owner, claim.request));
    }

    private String owner(int shard) {
        String holder = holders.get(shard);
        return holder != null ? holder : chosenOwner(shard, members);
    }

    private void resolve(int shard, List<ClaimEffect> effects) {
        if (reading.putIfAbsent(shard, true) == null) {
            effects.add(new ClaimEffect.Store(ClaimEffect.Caller.ROUTER, new StoreRequest.Read(ClaimOwner.key(shard))));
        }
    }

    private void finish(Pending claim, ClaimResult answer, List<ClaimEffect> effects) {
        pending.remove(claim.request.requestId());
        if (answer.decision() == ClaimResult.Decision.GRANTED) {
            granted.put(claim.request.requestId(), claim.request);
        }
        effects.add(new ClaimEffect.ReportResult(claim.request.requestId(), answer));
    }

    private void abandon(Pending claim, long retryAfterMillis, long now, List<ClaimEffect> effects) {
        ClaimMessage.Request request = claim.request;
        pending.remove(request.requestId());
        if (claim.asked) {
            abandoned.put(request.requestId(), request);
            report(
                    new ClaimMessage.Outcome(request.keyDigest(), request.shard(), true, 0, null, request.requestId()),
                    now);
        }
        effects.add(new ClaimEffect.ReportResult(request.requestId(), ClaimResults.unavailable(retryAfterMillis)));
    }

    private List<ClaimEffect> settle(String requestId, boolean released, int status, byte[] body, long now) {
        List<ClaimEffect> effects = new ArrayList<>();
        ClaimMessage.Request request = granted.remove(requestId);
        Pending waiting = released ? pending.remove(requestId) : null;
        if (waiting != null) {
            request = waiting.request;
            abandoned.put(requestId, request);
        }
        if (request != null) {
            report(
                    new ClaimMessage.Outcome(request.keyDigest(), request.shard(), released, status, body, requestId),
                    now);
            sendReports(now, effects);
        }
        return effects;
    }

    private void report(ClaimMessage.Outcome outcome, long now) {
        if (reports.size() >= MAX_REMEMBERED) {
            reports.poll();
        }
        reports.add(new Report(outcome, now));
    }

    private void sendReports(long now, List<ClaimEffect> effects) {
        for (Report report : reports) {
            String owner = owner(report.outcome.shard());
            if (now >= report.sendAt && owner != null) {
                effects.add(new ClaimEffect.Send(owner, report.outcome));
                report.sends++;
                report.sendAt = now + OUTCOME_INTERVAL_MILLIS;
            }
        }
        reports.removeIf(report -> report.sends >= OUTCOME_SENDS);
    }

    private static Map<String, ClaimMessage.Request> bounded() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, ClaimMessage.Request> eldest) {
                return size() > MAX_REMEMBERED;
            }
        };
    }

    private static Integer shardOf(String key) {
        String prefix = ClaimOwner.key(0).substring(0, ClaimOwner.key(0).length() - 1);
        return key.startsWith(prefix) ? Integer.valueOf(key.substring(prefix.length())) : null;
    }
}
