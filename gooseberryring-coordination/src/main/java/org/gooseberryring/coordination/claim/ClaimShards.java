package org.gooseberryring.coordination.claim;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.coordination.store.StoreReply;

/** Manages the claim shards of this host and passes messages and store replies to their owners. */
public final class ClaimShards {
    // Interval between attempts to acquire a shard while its holder still appears to be alive.
    private static final long ASSIGN_INTERVAL_MILLIS = 1_000;
    // Acquiring a shard takes a read and a write. Without this limit, hosts that start together would send more writes
    // than the store accepts in a second.
    private static final long MIN_ACQUIRE_INTERVAL_MILLIS = 20;

    private final String host;
    private final long incarnation;
    private final ClaimSettings settings;
    private final ClaimCodec codec;
    private final Map<Integer, ClaimOwner> owners = new HashMap<>();
    private final Map<String, Integer> shards = new HashMap<>();
    private final Set<Integer> shardsToAcquire = new LinkedHashSet<>();
    // Computed once per membership change, because ranking all hosts for all shards is slow at the target size.
    private final BitSet assignedShards = new BitSet();
    private Set<String> members = Set.of();
    private boolean releasing;
    private long nextAssignAt = Long.MIN_VALUE;
    private long nextAcquireAt = Long.MIN_VALUE;

    /**
     * Creates the shard manager of a host.
     *
     * @param host identifier of this host
     * @param incarnation incarnation of this process
     * @param settings settings of the claims
     * @param codec converts shard documents
     */
    public ClaimShards(String host, long incarnation, ClaimSettings settings, ClaimCodec codec) {
        this.host = host;
        this.incarnation = incarnation;
        this.settings = settings;
        this.codec = codec;
        for (int shard = 0; shard < settings.shards(); shard++) {
            shards.put(ClaimOwner.key(shard), shard);
        }
    }

    /** Updates the live hosts, including this host. Shards that are now assigned to another host are released. */
    public void onMembersChanged(Collection<String> liveHosts, long now) {
        if (!members.equals(Set.copyOf(liveHosts))) {
            members = Set.copyOf(liveHosts);
            nextAssignAt = now;
            for (int shard = 0; shard < settings.shards(); shard++) {
                assignedShards.set(shard, host.equals(ClaimRouter.preferredOwner(shard, members)));
            }
        }
    }

    /** Starts to release all shards; {@link #hasReleasedAllShards} returns true once this is complete. */
    public void releaseAllShards(long now) {
        releasing = true;
        nextAssignAt = now;
    }

    /** Returns whether this host owns no shards and has no pending calls for them. */
    public boolean hasReleasedAllShards() {
        return owners.values().stream().allMatch(ClaimOwner::isIdle);
    }

    /** Handles a request for a claim. */
    public List<ClaimEffect> onRequest(String sender, long senderIncarnation, ClaimMessage.Request request, long now) {
        if (shardsToAcquire.remove(request.shard())) {
            // Acquires a requested shard immediately instead of in its turn.
            owner(request.shard()).acquire(holder -> !members.contains(holder));
        }
        return owner(request.shard()).onRequest(sender, senderIncarnation, request, now);
    }

    /** Handles the outcome of a claimed request. */
    public List<ClaimEffect> onOutcome(String sender, long senderIncarnation, ClaimMessage.Outcome outcome, long now) {
        return owner(outcome.shard()).onOutcome(sender, senderIncarnation, outcome, now);
    }

    /** Handles the reply to a store call of a shard owner. */
    public List<ClaimEffect> onStore(StoreReply reply, long now) {
        Integer shard = shards.get(reply.key());
        ClaimOwner owner = shard == null ? null : owners.get(shard);
        return owner == null ? List.of() : owner.onStore(reply, now);
    }

    /** Acquires and releases shards, and commits waiting claims. */
    public List<ClaimEffect> tick(long now) {
        if (now >= nextAssignAt) {
            nextAssignAt = now + ASSIGN_INTERVAL_MILLIS;
            assignShards();
        }
        if (!shardsToAcquire.isEmpty() && now >= nextAcquireAt) {
            nextAcquireAt = now + MIN_ACQUIRE_INTERVAL_MILLIS;
            Integer shard = shardsToAcquire.iterator().next();
            shardsToAcquire.remove(shard);
            owner(shard).acquire(holder -> !members.contains(holder));
        }
        List<ClaimEffect> effects = new ArrayList<>();
        for (ClaimOwner owner : owners.values()) {
            effects.addAll(owner.tick(now));
        }
        return effects;
    }

    private void assignShards() {
        for (int shard = 0; shard < settings.shards(); shard++) {
            boolean assigned = !releasing && assignedShards.get(shard);
            if (assigned && !owner(shard).owns()) {
                shardsToAcquire.add(shard);
            } else if (!assigned) {
                shardsToAcquire.remove(shard);
                if (owners.containsKey(shard)) {
                    owners.get(shard).resign();
                }
            }
        }
    }

    private ClaimOwner owner(int shard) {
        if (shard < 0 || shard >= settings.shards()) {
            throw new IllegalArgumentException(
                    "shard " + shard + " is not in the range from 0 to below " + settings.shards());
        }
        return owners.computeIfAbsent(shard, number -> new ClaimOwner(number, host, incarnation, settings, codec));
    }
}
