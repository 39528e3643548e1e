package org.gooseberryring.coordination.claim;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/** Next content of a shard, from the committed one, the waiting claims and the reported outcomes. */
final class ClaimShardUpdate {
    private final ClaimSettings settings;
    private final long clock;
    private final Map<String, ClaimRecord> claims;
    private int bytes;
    private boolean changed;

    ClaimShardUpdate(ClaimShardDocument committed, ClaimSettings settings, long clock) {
        this.settings = settings;
        this.clock = clock;
        this.claims = new TreeMap<>(committed.claims());
        claims.values().removeIf(claim -> clock - claim.claimedAt() > settings.retentionMillis());
        this.bytes = claims.values().stream().mapToInt(ClaimRecord::bytes).sum();
    }

    /** Adds the claims whose keys are free, as far as there is room. */
    void claim(Collection<ReceivedClaimRequest> asks) {
        for (ReceivedClaimRequest ask : asks) {
            ClaimRecord claim = new ClaimRecord(
                    ask.request().requestDigest(),
                    ask.request().requestId(),
                    ask.host(),
                    ask.incarnation(),
                    clock,
                    0,
                    null);
            boolean fits = bytes + claim.bytes() <= settings.maxBytes();
            if (fits && claims.putIfAbsent(ask.request().keyDigest(), claim) == null) {
                bytes += claim.bytes();
                changed = true;
            }
        }
    }

    /**
     * Applies outcomes. Only the request that holds a claim can release or record it, and a recorded claim stays. An
     * answer that is too large is not recorded, so that its key keeps the answer "may have run".
     */
    void settle(Collection<ClaimSettlement> settlements) {
        for (ClaimSettlement settlement : settlements) {
            ClaimMessage.Outcome outcome = settlement.outcome();
            ClaimRecord claim = claims.get(outcome.keyDigest());
            if (claim == null
                    || claim.recorded()
                    || !claim.heldBy(outcome.requestId(), settlement.host(), settlement.incarnation())) {
                continue;
            }
            if (outcome.released()) {
                claims.remove(outcome.keyDigest());
                bytes -= claim.bytes();
                changed = true;
                continue;
            }
            ClaimRecord recorded = claim.record(outcome.status(), outcome.body());
            int bodyBytes = outcome.body() == null ? 0 : outcome.body().length;
            int grown = bytes + recorded.bytes() - claim.bytes();
            if (outcome.status() != 0 && bodyBytes <= settings.maxBodyBytes() && grown <= settings.maxBytes()) {
                claims.put(outcome.keyDigest(), recorded);
                bytes = grown;
                changed = true;
            }
        }
    }

    boolean changed() {
        return changed;
    }

    ClaimShardDocument document(ClaimShardDocument committed) {
        return committed.with(clock, claims);
    }
}
