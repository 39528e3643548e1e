package org.gooseberryring.coordination.claim;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/** Computes the next content of a shard from its committed content, the waiting claims and the reported outcomes. */
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

    /** Adds claims for keys that are not claimed yet, up to the maximum size of the shard. */
    void addClaims(Collection<ReceivedClaimRequest> requests) {
        for (ReceivedClaimRequest received : requests) {
            ClaimRecord claim = new ClaimRecord(
                    received.request().requestDigest(),
                    received.request().requestId(),
                    received.host(),
                    received.incarnation(),
                    clock,
                    0,
                    null);
            boolean fits = bytes + claim.bytes() <= settings.maxBytes();
            if (fits && claims.putIfAbsent(received.request().keyDigest(), claim) == null) {
                bytes += claim.bytes();
                changed = true;
            }
        }
    }

    /**
     * Applies outcomes. Only the request that holds a claim can release it or record a response, and a claim with a
     * recorded response is not changed. A response that is too large is not recorded; its key keeps the result
     * {@code MAY_HAVE_RUN}.
     */
    void applyOutcomes(Collection<ReceivedClaimOutcome> outcomes) {
        for (ReceivedClaimOutcome received : outcomes) {
            ClaimMessage.Outcome outcome = received.outcome();
            ClaimRecord claim = claims.get(outcome.keyDigest());
            if (claim == null
                    || claim.recorded()
                    || !claim.isHeldBy(outcome.requestId(), received.host(), received.incarnation())) {
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
            int newBytes = bytes + recorded.bytes() - claim.bytes();
            if (outcome.status() != 0 && bodyBytes <= settings.maxBodyBytes() && newBytes <= settings.maxBytes()) {
                claims.put(outcome.keyDigest(), recorded);
                bytes = newBytes;
                changed = true;
            }
        }
    }

    boolean isChanged() {
        return changed;
    }

    ClaimShardDocument toDocument(ClaimShardDocument committed) {
        return committed.withClaims(clock, claims);
    }
}
