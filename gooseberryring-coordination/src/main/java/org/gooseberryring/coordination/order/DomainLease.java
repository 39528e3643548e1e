package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.coordination.store.StoreReply;

/**
 * Lease of the controller of a failure domain.
 *
 * <p>The lease only selects the host that should act. A holder that acts after losing the lease does no harm, because
 * every order requires a conditional update of its ledger.
 */
public final class DomainLease {
    private static final int RENEWALS_PER_LEASE = 3;

    /** Maximum delay after failed calls. It is short because only a few hosts of a failure domain watch its lease. */
    private static final long MAX_RETRY_MILLIS = 800;

    /**
     * Number of low bits of a fencing number, below the store epoch. No fencing number of an earlier epoch is reused.
     */
    private static final int TERM_BITS = 24;

    private final String self;
    private final long leaseMillis;
    private final StoredObject<LeaseDocument> storedLease;
    private final RandomGenerator random;
    private LeaseDocument observed;
    private long observedSince;
    private long nextCallAt;
    private long renewedAt;
    /** Whether this process wrote the last known document in the store, even if the lease has expired. */
    private boolean ownsLease;

    private boolean candidate = true;
    private boolean withdrawn;
    private boolean suspended;
    private long stamps;
    private long epoch = StorePosition.NO_EPOCH;
    private long highestTerm;

    /**
     * Creates the lease as seen by one host.
     *
     * @param self identifier of this host, unchanged by restarts; no two running processes may share it
     * @param leaseMillis time without a renewal after which another host may acquire the lease, in milliseconds
     */
    public DomainLease(String self, String failureDomain, long leaseMillis, OrderCodec codec, RandomGenerator random) {
        this.self = self;
        this.leaseMillis = leaseMillis;
        this.random = random;
        this.storedLease = new StoredObject<>(
                key(failureDomain),
                LeaseDocument.class,
                () -> new LeaseDocument("", "", 0, 0, StorePosition.NO_EPOCH),
                codec,
                random,
                MAX_RETRY_MILLIS);
    }

    /** Returns the key of the lease in the store. */
    public static String key(String failureDomain) {
        return "controllers/" + failureDomain;
    }

    /** Returns whether this host holds an unexpired lease, by its own clock. */
    public boolean isLeader(long now) {
        return ownsLease && now - renewedAt < leaseMillis;
    }

    /** Returns whether this host holds the lease and renewed it within the given time, in milliseconds. */
    public boolean renewedWithin(long millis, long now) {
        return ownsLease && now - renewedAt < millis;
    }

    /** Returns the time at which the last successful renewal was sent. */
    public long renewedAt() {
        return renewedAt;
    }

    /** Returns the fencing number; only meaningful while this host is the leader. */
    public long term() {
        return storedLease.document().term();
    }

    /** Records a fencing number that another host or an older document reports as used, so that it is not reused. */
    public void recordUsedTerm(long usedTerm) {
        highestTerm = Math.max(highestTerm, usedTerm);
    }

    /** Sets whether this host may acquire the lease; only a few hosts of a failure domain watch it. */
    public void setCandidate(boolean isCandidate) {
        candidate = isCandidate;
    }

    /**
     * Sets whether this host leaves the lease to others, because it does not reach the endpoints that it would order.
     * Meanwhile it neither acquires nor renews the lease; one that it holds expires.
     */
    public void setSuspended(boolean isSuspended) {
        suspended = isSuspended;
    }

    /** Stops acquiring the lease, even if an earlier process of this host holds it. */
    public void withdraw() {
        withdrawn = true;
    }

    /**
     * Returns whether this host may acquire the lease: as a candidate, or because an earlier process of this host may
     * hold it, and no other host knows that this process has ended.
     */
    private boolean canAcquire() {
        boolean heldBySelf = observed == null || observed.holder().equals(self);
        return !withdrawn && (candidate || heldBySelf);
    }

    /**
     * Handles a store epoch that another call returned.
     *
     * <p>A later epoch means that another host may have held the lease during the period that the store has lost. This
     * host then no longer holds the lease, and waits for one full lease period before it acquires it.
     */
    public void onEpoch(long newEpoch, long now) {
        if (newEpoch > epoch) {
            epoch = newEpoch;
            storedLease.onStoreRestored(newEpoch);
            ownsLease = false;
            observed = null;
            observedSince = now;
            nextCallAt = now;
        }
    }

    /** Returns the calls to the store that are due. */
    public List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>(storedLease.onTick(now));
        if (suspended || !canAcquire() && !ownsLease || !storedLease.isIdle() || now < nextCallAt) {
            return effects;
        }
        long period = leaseMillis / RENEWALS_PER_LEASE;
        nextCallAt = now + period / 2 + random.nextLong(period / 2 + 1);
        LeaseDocument document = storedLease.document();
        if (ownsLease) {
            // Also after expiry: a write with the known version succeeds only if no other host has acquired the lease.
            effects.addAll(storedLease.put(
                    new LeaseDocument(stamp(), self, document.term(), document.renewals() + 1, epoch), now));
        } else if (observed != null && now - observedSince >= leaseMillis) {
            effects.addAll(storedLease.put(new LeaseDocument(stamp(), self, nextTerm(), 0, epoch), now));
        } else {
            effects.addAll(storedLease.read());
        }
        return effects;
    }

    /** Handles a reply of the store and returns further calls. */
    public List<OrderEffect> onReply(StoreReply reply, long now) {
        List<OrderEffect> effects = new ArrayList<>();
        if (reply.hasObjectState()) {
            onEpoch(reply.epoch(), now);
        }
        switch (storedLease.onReply(reply, now, effects)) {
            case WRITTEN:
                ownsLease = true;
                renewedAt = storedLease.putSentAt();
                nextCallAt = now - renewedAt < leaseMillis / RENEWALS_PER_LEASE ? nextCallAt : now;
                break;
            case LOST:
            case READ:
                ownsLease = false;
                break;
            default:
                return effects;
        }
        recordUsedTerm(storedLease.document().term());
        if (!storedLease.document().equals(observed)) {
            boolean available = isAvailable(storedLease.document());
            observedSince = available ? now - leaseMillis : now;
            observed = storedLease.document();
            nextCallAt = available ? now : nextCallAt;
        }
        return effects;
    }

    /**
     * Returns whether no other process can hold the lease. A lease of an earlier process of this host is available like
     * one without a holder, because that process has ended. A document of an earlier epoch only shows who held the
     * lease before the store was restored from an older copy.
     */
    private boolean isAvailable(LeaseDocument document) {
        boolean heldByPreviousProcess = !ownsLease && document.holder().equals(self);
        return document.epoch() == epoch && (document.holder().isEmpty() || heldByPreviousProcess);
    }

    private long nextTerm() {
        return Math.max(highestTerm, epoch << TERM_BITS) + 1;
    }

    private String stamp() {
        // Random, because a restarted host must not repeat the stamps of its previous process.
        return self + "/" + Long.toHexString(random.nextLong()) + "/" + stamps++;
    }
}
