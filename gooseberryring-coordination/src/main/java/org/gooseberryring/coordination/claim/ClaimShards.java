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

/** Keeps the owners of the shards that this host should own, and passes messages and store replies to them. */
public final class ClaimShards {
    // Between attempts to take a shard whose present holder still seems alive.
    private static final long ACQUIRE_INTERVAL_MILLIS = 1_000;
    // A shard takes a read and a write. Without a pause, hosts that start together would send more writes at once than
    // the store takes in a second.
    private static final long ACQUIRE_PAUSE_MILLIS = 20;

    private final String host;
    private final long incarnation;
    private final ClaimSettings settings;
    private final ClaimCodec codec;
    private final Map<Integer, ClaimOwner> owners = new HashMap<>();
    private final Map<String, Integer> shards = new HashMap<>();
    private final Set<Integer> wanted = new LinkedHashSet<>();
    // Computed once for each membership, because ranking all hosts for all shards is slow at the target size.
    private final BitSet chosen = new BitSet();
    private Set<String> members = Set.of();
    private boolean leaving;
    private long acquireAt = Long.MIN_VALUE;
    private long nextAcquireAt = Long.MIN_VALUE;

    /**
     * Creates the owners of a host.
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

    /** Adopts the live hosts, this host included; shards that another host should own are given up. */
    public void onMembersChanged(Collection<String> liveHosts, long now) {
        if (!members.equals(Set.copyOf(liveHosts))) {
            members = Set.copyOf(liveHosts);
            acquireAt = now;
            for (int shard = 0; shard < settings.shards(); shard++) {
                chosen.set(shard, host.equals(ClaimRouter.chosenOwner(shard, members)));
            }
        }
    }

    /** Starts to release all shards; {@link #hasReleasedAllShards} returns true once this is complete. */
    public void releaseAllShards(long now) {
        leaving = true;
        acquireAt = now;
    }

    /** Returns whether this host owns no shard any more. */
    public boolean hasReleasedAllShards() {
        return owners.values().stream().allMatch(ClaimOwner::idle);
    }

    /** Answers a request for a claim. */
    public List<ClaimEffect> onRequest(String sender, long senderIncarnation, ClaimMessage.Request request, long now) {
        if (wanted.remove(request.shard())) {
            // A shard that is asked for does not wait for its turn.
            owner(request.shard()).acquire(holder -> !members.contains(holder));
        }
        return owner(request.shard()).onRequest(sender, senderIncarnation, request, now);
    }

    /** Notes the outcome of a claimed request. */
    public List<ClaimEffect> onOutcome(String sender, long senderIncarnation, ClaimMessage.Outcome outcome, long now) {
        return owner(outcome.shard()).onOutcome(sender, senderIncarnation, outcome, now);
    }

    /** Takes the reply to a store call of one of the owners. */
    public List<ClaimEffect> onStore(StoreReply reply, long now) {
        Integer shard = shards.get(reply.key());
        ClaimOwner owner = shard == null ? null : owners.get(shard);
        return owner == null ? List.of() : owner.onStore(reply, now);
    }

    /** Takes and gives up shards, and commits waiting claims. */
    public List<ClaimEffect> tick(long now) {
        if (now >= acquireAt) {
            acquireAt = now + ACQUIRE_INTERVAL_MILLIS;
            assign();
        }
        if (!wanted.isEmpty() && now >= nextAcquireAt) {
            nextAcquireAt = now + ACQUIRE_PAUSE_MILLIS;
            Integer shard = wanted.iterator().next();
            wanted.remove(shard);
            owner(shard).acquire(holder -> !members.contains(holder));
        }
        List<ClaimEffect> effects = new ArrayList<>();
        for (ClaimOwner owner : owners.values()) {
            effects.addAll(owner.tick(now));
        }
        return effects;
    }

    private void assign() {
        for (int shard = 0; shard < settings.shards(); shard++) {
            boolean mine = !leaving && chosen.get(shard);
            if (mine && !owner(shard).owns()) {
                wanted.add(shard);
            } else if (!mine) {
                wanted.remove(shard);
                if (owners.containsKey(shard)) {
                    owners.get(shard).resign();
                }
            }
        }
    }

    private ClaimOwner owner(int shard) {
        if (shard < 0 || shard >= settings.shards()) {
            throw new IllegalArgumentException("shard " + shard + " is not below " + settings.shards());
        }
        return owners.computeIfAbsent(shard, number -> new ClaimOwner(number, host, incarnation, settings, codec));
    }
}
