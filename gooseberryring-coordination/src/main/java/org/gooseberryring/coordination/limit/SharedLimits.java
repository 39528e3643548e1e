package org.gooseberryring.coordination.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.gooseberryring.state.Organisation;

/**
 * Token limits that hosts keep together by telling each other what they have admitted.
 *
 * <p>Every host counts for each organisation what any host has admitted within the window of the limits. A host that is
 * silent is assumed to use its part of the limit, so that hosts that are cut off from each other stay within the limit
 * together.
 */
public final class SharedLimits implements TokenAdmission {
    /** Organisation without a rate is not limited. */
    private static final long UNLIMITED = 0;

    /** Time without a message after which the use of a host is assumed; several messages are lost by then. */
    private static final long ASSUME_MILLIS = 1_000;

    private final Map<String, SharedBucket> buckets = new HashMap<>();
    private final Map<String, Reservation> reservations = new HashMap<>();
    private final Map<String, Peer> peers = new HashMap<>();
    private final long windowMillis;
    private long tickedAt = Long.MIN_VALUE;
    private boolean configured;

    private record Reservation(String organisation, long tokens) {}

    /** Another host; {@code assumed} states whether use was assumed of it since it was heard last. */
    private record Peer(long incarnation, long heardAt, boolean assumed) {
        boolean isSilent(long now) {
            return now - heardAt > ASSUME_MILLIS;
        }
    }

    /**
     * Creates limits without any organisation.
     *
     * @param windowMillis length of the spans of time in which an organisation may use its rate and its burst
     */
    public SharedLimits(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /** Takes over the organisations of a configuration. */
    public void configured(Collection<Organisation> organisations, long now) {
        catchUp(now);
        Map<String, Organisation> limited = new HashMap<>();
        for (Organisation organisation : organisations) {
            if (organisation.rateTokensPerSecond() > UNLIMITED) {
                limited.put(organisation.id(), organisation);
            }
        }
        buckets.keySet().retainAll(limited.keySet());
        boolean pastUnknown = !configured;
        limited.forEach((id, organisation) ->
                buckets.computeIfAbsent(id, key -> newBucket(pastUnknown, now)).configured(organisation, now));
        configured = true;
    }

    /**
     * Takes over what another host has admitted.
     *
     * @param incarnation number of its process; what an earlier process admitted no longer counts as silent use
     * @param usedTokens tokens since the start of that process by organisation; those that are not named are unchanged
     */
    public void usedBy(String host, long incarnation, Map<String, Long> usedTokens, long now) {
        catchUp(now);
        Peer known = peers.put(host, new Peer(incarnation, now, false));
        boolean same = known != null && known.incarnation() == incarnation;
        buckets.forEach((id, bucket) -> {
            if (!same) {
                bucket.joined(host, usedTokens.getOrDefault(id, 0L), now);
            } else if (usedTokens.containsKey(id)) {
                bucket.usedBy(host, usedTokens.get(id), now);
            } else {
                bucket.heard(host, now);
            }
        });
    }

    /** Notes when another host, which has admitted nothing more since, was last heard of. */
    public void heard(String host, long ageMillis, long now) {
        Peer known = peers.get(host);
        if (known == null) {
            return;
        }
        boolean silent = ageMillis > ASSUME_MILLIS;
        if (known.assumed() && !silent) {
            buckets.values().forEach(bucket -> bucket.heard(host, now));
        }
        peers.put(host, new Peer(known.incarnation(), now - ageMillis, known.assumed() && silent));
    }

    /** Takes a host out that gave no sign of life for a long time, so that nothing is assumed of it any more. */
    public void gone(String host) {
        peers.remove(host);
        buckets.values().forEach(bucket -> bucket.forget(host));
    }

    /** Returns the tokens that this host has admitted since its start by organisation. */
    public Map<String, Long> used() {
        Map<String, Long> used = new HashMap<>();
        buckets.forEach((id, bucket) -> used.put(id, bucket.ownUsed()));
        return used;
    }

    /** Takes the assumed use of silent hosts into account; called several times a second. */
    public void tick(long now) {
        catchUp(now);
        tickedAt = now;
        Map<String, Long> silent = new HashMap<>();
        peers.forEach((host, peer) -> {
            if (peer.isSilent(now)) {
                silent.put(host, peer.heardAt());
            }
        });
        assume(silent, now);
    }

    private SharedBucket newBucket(boolean pastUnknown, long now) {
        SharedBucket bucket = new SharedBucket(windowMillis, pastUnknown, now);
        peers.keySet().forEach(host -> bucket.joined(host, 0, now));
        return bucket;
    }

    /**
     * Notices that this host itself was stopped. The others have used their parts meanwhile, although none of them was
     * heard; that none was heard does not show that they were silent.
     */
    private void catchUp(long now) {
        if (tickedAt == Long.MIN_VALUE || now - tickedAt <= ASSUME_MILLIS) {
            return;
        }
        long stopped = now - tickedAt;
        tickedAt = now;
        Map<String, Long> heardAt = new HashMap<>();
        peers.forEach((host, peer) -> heardAt.put(host, peer.heardAt()));
        assume(heardAt, now);
        peers.replaceAll(
                (host, peer) -> new Peer(peer.incarnation(), Math.min(now, peer.heardAt() + stopped), peer.assumed()));
    }

    /** Assumes the use of hosts since they were heard last. */
    private void assume(Map<String, Long> silentSince, long now) {
        if (!silentSince.isEmpty()) {
            silentSince
                    .keySet()
                    .forEach(host -> peers.computeIfPresent(
                            host, (name, peer) -> new Peer(peer.incarnation(), peer.heardAt(), true)));
            int hosts = peers.size() + 1;
            buckets.values().forEach(bucket -> bucket.assume(silentSince, hosts, now));
        }
    }

    @Override
    public Admission reserve(String requestId, String organisation, long tokens, long now) {
        catchUp(now);
        SharedBucket bucket = buckets.get(organisation);
        if (bucket == null) {
            return Admission.admitted();
        }
        if (!bucket.take(tokens, now)) {
            return Admission.refused(bucket.millisToNext(now));
        }
        reservations.put(requestId, new Reservation(organisation, tokens));
        return Admission.admitted();
    }

    @Override
    public void settle(String requestId, long usedTokens, long now) {
        catchUp(now);
        Reservation reservation = reservations.remove(requestId);
        SharedBucket bucket = reservation == null ? null : buckets.get(reservation.organisation());
        if (bucket != null && usedTokens < reservation.tokens()) {
            bucket.giveBack(reservation.tokens() - usedTokens, now);
        }
    }
}
