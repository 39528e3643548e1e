package org.gooseberryring.coordination.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.state.Organisation;

/**
 * Token limits that all hosts enforce jointly by reporting to each other what they have admitted.
 *
 * <p>For each organisation, every host counts the tokens that any host has admitted within the window of the limits. A
 * silent host is assumed to use its share of the limit, so that hosts that are partitioned from each other still stay
 * within the limit together.
 */
public final class SharedLimits implements TokenAdmission {
    /** Rate of an organisation that is not limited. */
    private static final long UNLIMITED = 0;

    private final Map<String, SharedBucket> buckets = new HashMap<>();
    private final Map<String, Reservation> reservations = new HashMap<>();
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Long> removedPeers = new HashMap<>();
    private final Map<String, Map<String, TokenUse>> earlyUses = new HashMap<>();
    private Map<String, List<Long>> earlyWindows = Map.of();
    private Map<String, Long> earlierExcesses;
    private final long windowMillis;
    private long tickedAt = Long.MIN_VALUE;
    private int hostCount = SharedBucket.UNKNOWN_HOSTS;
    private boolean configured;

    private record Reservation(String organisation, long tokens, long admittedAt) {}

    /** Another host; {@code assumed} is true if usage was assumed for it since its last update. */
    private record Peer(long incarnation, long lastUpdateAt, boolean assumed) {
        Peer withAssumedUse() {
            return new Peer(incarnation, lastUpdateAt, true);
        }
    }

    /**
     * Creates limits without organisations.
     *
     * @param windowMillis length in milliseconds of the periods in which an organisation may use its rate and its burst
     */
    public SharedLimits(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Sets the number of hosts that may be alive, this one included, whether or not they have reported their usage. Until
     * then a host that has just started grants a small part of the limits.
     */
    public void setHostCount(int count) {
        hostCount = count;
    }

    /** Sets the organisations of a configuration. */
    public void configure(Collection<Organisation> organisations, long now) {
        handlePause(now);
        Map<String, Organisation> limited = new HashMap<>();
        for (Organisation organisation : organisations) {
            if (organisation.rateTokensPerSecond() > UNLIMITED) {
                limited.put(organisation.id(), organisation);
            }
        }
        buckets.keySet().retainAll(limited.keySet());
        boolean pastUsageUnknown = !configured;
        limited.forEach((id, organisation) -> buckets.computeIfAbsent(id, key -> newBucket(key, pastUsageUnknown, now))
                .configure(organisation, now));
        if (!configured) {
            configured = true;
            takeOver(earlyWindows, now);
            applyEarlierExcesses(now);
            earlyWindows = Map.of();
            earlyUses.clear();
        }
    }

    /**
     * Records the usage that another host reported.
     *
     * @param incarnation incarnation of its process; no further usage is assumed for an earlier process
     * @param uses tokens admitted since the start of that process by organisation; organisations that are not listed are
     *     unchanged
     */
    public void onUsageReport(String host, long incarnation, Map<String, TokenUse> uses, long now) {
        handlePause(now);
        Peer known = peers.put(host, new Peer(incarnation, now, false));
        Long removed = removedPeers.remove(host);
        boolean isSameProcess =
                known == null ? removed != null && removed == incarnation : known.incarnation() == incarnation;
        if (!configured) {
            recordEarlyUses(host, isSameProcess, uses);
        }
        buckets.forEach((id, bucket) -> {
            if (!isSameProcess) {
                bucket.addHost(host, uses.getOrDefault(id, TokenUse.of(0)), now);
            } else if (uses.containsKey(id)) {
                bucket.onUsageReport(host, uses.get(id), now);
            } else {
                bucket.onUsageUnchanged(host, now);
            }
        });
    }

    /** Keeps what was reported before the organisations are known, as the base of later reports of the same process. */
    private void recordEarlyUses(String host, boolean isSameProcess, Map<String, TokenUse> uses) {
        if (!isSameProcess) {
            earlyUses.remove(host);
        }
        earlyUses.computeIfAbsent(host, key -> new HashMap<>()).putAll(uses);
    }

    /** Records the age of the last update of another host, which has admitted nothing since that update. */
    public void recordUpdateAge(String host, long ageMillis, long now) {
        Peer known = peers.get(host);
        if (known == null) {
            return;
        }
        boolean late = ageMillis > SharedBucket.PROPAGATION_MILLIS;
        if (known.assumed() && !late) {
            buckets.values().forEach(bucket -> bucket.onUsageUnchanged(host, now));
        }
        peers.put(host, new Peer(known.incarnation(), now - ageMillis, known.assumed() && late));
    }

    /** Removes a host that has been silent for a long time, so that no further usage is assumed for it. */
    public void removeHost(String host) {
        Peer removed = peers.remove(host);
        if (removed != null) {
            removedPeers.put(host, removed.incarnation());
        }
        buckets.values().forEach(bucket -> bucket.removeHost(host));
    }

    /** Returns the tokens that this host has admitted since its start by organisation. */
    public Map<String, TokenUse> used() {
        Map<String, TokenUse> used = new HashMap<>();
        buckets.forEach((id, bucket) -> used.put(id, bucket.ownUse()));
        return used;
    }

    /**
     * Returns what all hosts have used within the window, for a host that has just started: by organisation the tokens by
     * their age in equal parts of the window, the newest first. Lacks the organisations whose use this host does not know
     * for the whole window.
     */
    public Map<String, List<Long>> windows(long now) {
        Map<String, List<Long>> windows = new HashMap<>();
        buckets.forEach((id, bucket) -> {
            List<Long> window = bucket.window(now);
            if (!window.isEmpty()) {
                windows.put(id, window);
            }
        });
        return windows;
    }

    /** Takes over the windows of another host, if this host has just started and has not done so before. */
    public void takeOver(Map<String, List<Long>> windows, long now) {
        handlePause(now);
        if (!configured) {
            earlyWindows = windows;
        }
        buckets.forEach((id, bucket) -> bucket.takeOver(windows.getOrDefault(id, List.of()), now));
    }

    /**
     * Returns by organisation the tokens beyond what hosts that know nothing of them assume when they start; lacks the
     * organisations that have used no more.
     */
    public Map<String, Long> excesses(long now) {
        Map<String, Long> excesses = new HashMap<>();
        buckets.forEach((id, bucket) -> {
            long excess = bucket.excess(now);
            if (excess > 0) {
                excesses.put(id, excess);
            }
        });
        return excesses;
    }

    /** Records the excesses that were stored before this host has started. Only the first call has an effect. */
    public void onEarlierExcesses(Map<String, Long> excesses, long now) {
        handlePause(now);
        if (earlierExcesses == null) {
            earlierExcesses = Map.copyOf(excesses);
            applyEarlierExcesses(now);
        }
    }

    private void applyEarlierExcesses(long now) {
        if (earlierExcesses != null) {
            buckets.forEach((id, bucket) -> bucket.onEarlierExcess(earlierExcesses.getOrDefault(id, 0L), now));
        }
    }

    /** Adds the assumed usage of hosts whose updates are missing. Must be called several times per second. */
    public void tick(long now) {
        handlePause(now);
        tickedAt = now;
        assumeUsage(unheardFor(SharedBucket.SILENCE_MILLIS, now), now);
        Map<String, Long> late = unheardFor(SharedBucket.PROPAGATION_MILLIS, now);
        markAssumed(late.keySet());
        buckets.values().forEach(bucket -> bucket.assumeRemainderUsed(late, peers.size() + 1, now));
    }

    /** Returns the times of the last updates of the hosts that have not been heard for a time. */
    private Map<String, Long> unheardFor(long millis, long now) {
        Map<String, Long> unheard = new HashMap<>();
        peers.forEach((host, peer) -> {
            if (now - peer.lastUpdateAt() > millis) {
                unheard.put(host, peer.lastUpdateAt());
            }
        });
        return unheard;
    }

    private SharedBucket newBucket(String organisation, boolean pastUsageUnknown, long now) {
        SharedBucket bucket = new SharedBucket(windowMillis, pastUsageUnknown, now);
        peers.keySet().forEach(host -> {
            Map<String, TokenUse> early = earlyUses.getOrDefault(host, Map.of());
            bucket.addHost(host, early.getOrDefault(organisation, TokenUse.of(0)), now);
        });
        return bucket;
    }

    /**
     * Detects a pause of this host itself. The other hosts have used their shares during the pause, although no update
     * was processed. Missing updates during the pause do not mean that the other hosts were silent.
     */
    private void handlePause(long now) {
        if (tickedAt == Long.MIN_VALUE || now - tickedAt <= SharedBucket.SILENCE_MILLIS) {
            return;
        }
        long pausedMillis = now - tickedAt;
        tickedAt = now;
        Map<String, Long> lastUpdateAt = new HashMap<>();
        peers.forEach((host, peer) -> lastUpdateAt.put(host, peer.lastUpdateAt()));
        assumeUsage(lastUpdateAt, now);
        peers.replaceAll((host, peer) ->
                new Peer(peer.incarnation(), Math.min(now, peer.lastUpdateAt() + pausedMillis), peer.assumed()));
    }

    private void markAssumed(Set<String> hosts) {
        hosts.forEach(host -> peers.computeIfPresent(host, (name, peer) -> peer.withAssumedUse()));
    }

    /** Adds the assumed usage of hosts since their last updates. */
    private void assumeUsage(Map<String, Long> silentSince, long now) {
        if (!silentSince.isEmpty()) {
            markAssumed(silentSince.keySet());
            int hosts = peers.size() + 1;
            buckets.values().forEach(bucket -> bucket.assumeUsage(silentSince, hosts, now));
        }
    }

    @Override
    public Admission reserve(String requestId, String organisation, long tokens, long now) {
        handlePause(now);
        SharedBucket bucket = buckets.get(organisation);
        if (bucket == null) {
            return Admission.admitted();
        }
        if (!bucket.tryTake(tokens, hostCount, now)) {
            return Admission.refused(bucket.millisUntilAdmission(now));
        }
        reservations.put(requestId, new Reservation(organisation, tokens, now));
        return Admission.admitted();
    }

    /**
     * Ends a reservation. A request that has run counts with the tokens that its caller has stated, whatever the response
     * says.
     */
    @Override
    public void settle(String requestId, long usedTokens, long now) {
        handlePause(now);
        Reservation reservation = reservations.remove(requestId);
        SharedBucket bucket = reservation == null ? null : buckets.get(reservation.organisation());
        if (bucket != null && usedTokens == 0) {
            bucket.giveBack(reservation.tokens(), reservation.admittedAt(), now);
        }
    }
}
