package org.gooseberryring.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.gooseberryring.coordination.store.StorePosition;
import org.gooseberryring.coordination.store.StoreReply;

/**
 * Lease of the controller of a failure domain.
 *
 * <p>The lease only decides who should act; a holder that acts after it lost the lease does no harm, because every order
 * needs a conditional update of its ledger.
 */
public final class DomainLease {
    private static final int RENEWALS_PER_LEASE = 3;

    /** Longest wait after failed calls; few hosts of a failure domain follow its lease. */
    private static final long MAX_RETRY_MILLIS = 800;

    /** Bits of a fencing number below the epoch of the store, so that no number of an earlier epoch is given out again. */
    private static final int TERM_BITS = 24;

    private final String self;
    private final long leaseMillis;
    private final StoredObject<LeaseDocument> storedLease;
    private final RandomGenerator random;
    private LeaseDocument observed;
    private long observedSince;
    private long nextCallAt;
    private long renewedAt;
    /** Whether the document in the store is of this process as far as it knows, also if the lease has lapsed. */
    private boolean ownsLease;

    private boolean candidate = true;
    private boolean withdrawn;
    private long stamps;
    private long epoch = StorePosition.NO_EPOCH;
    private long highestTerm;

    /**
     * Creates a host's part of a lease.
     *
     * @param self host, the same after a restart; no two processes that run at once may have the same
     * @param leaseMillis milliseconds without a renewal after which another host may take the lease
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

    /** Returns whether this host is the controller, as far as it knows. */
    public boolean isLeader(long now) {
        return ownsLease && now - renewedAt < leaseMillis;
    }

    /** Returns whether this host is the controller and renewed its lease within the given milliseconds. */
    public boolean renewedWithin(long millis, long now) {
        return ownsLease && now - renewedAt < millis;
    }

    /** Returns the time at which the renewal in force was sent. */
    public long renewedAt() {
        return renewedAt;
    }

    /** Returns the fencing number; only meaningful while this host leads. */
    public long term() {
        return storedLease.document().term();
    }

    /** Takes over a fencing number that was used, as another host or an older document states; it is not used again. */
    public void recordUsedTerm(long usedTerm) {
        highestTerm = Math.max(highestTerm, usedTerm);
    }

    /** Sets whether this host may take the lease; only a few hosts of a failure domain watch it. */
    public void setCandidate(boolean isCandidate) {
        candidate = isCandidate;
    }

    /** Takes the lease no more, also if an earlier process of this host holds it. */
    public void withdraw() {
        withdrawn = true;
    }

    /**
     * Returns whether this host may take the lease: as a candidate, or because an earlier process of its own may hold it,
     * which no other host knows to have ended.
     */
    private boolean canAcquire() {
        boolean heldBySelf = observed == null || observed.holder().equals(self);
        return !withdrawn && (candidate || heldBySelf);
    }

    /**
     * Takes over an epoch of the store that another call has shown.
     *
     * <p>A later epoch means that the lease may have been held by another host in the time that the store has lost. This
     * host then holds it no more, and waits for the whole lease before it takes it.
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
        if (!canAcquire() && !ownsLease || !storedLease.isIdle() || now < nextCallAt) {
            return effects;
        }
        long period = leaseMillis / RENEWALS_PER_LEASE;
        nextCallAt = now + period / 2 + random.nextLong(period / 2 + 1);
        LeaseDocument document = storedLease.document();
        if (ownsLease) {
            // Also late: a write under the known version succeeds only if nobody else has taken the lease.
            effects.addAll(storedLease.put(
                    new LeaseDocument(stamp(), self, document.term(), document.renewals() + 1, epoch), now));
        } else if (observed != null && now - observedSince >= leaseMillis) {
            effects.addAll(storedLease.put(new LeaseDocument(stamp(), self, nextTerm(), 0, epoch), now));
        } else {
            effects.addAll(storedLease.read());
        }
        return effects;
    }

    /** Handles a reply of the store; returns further calls. */
    public List<OrderEffect> onReply(StoreReply reply, long now) {
        List<OrderEffect> effects = new ArrayList<>();
        if (reply.isAnswer()) {
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
     * Returns whether nobody else can hold the lease. One of an earlier process of this host is as free as one without a
     * holder, because that process has ended. A document of an earlier epoch shows only who held it before the store came
     * back from an older copy.
     */
    private boolean isAvailable(LeaseDocument document) {
        boolean heldByPreviousProcess = !ownsLease && document.holder().equals(self);
        return document.epoch() == epoch && (document.holder().isEmpty() || heldByPreviousProcess);
    }

    private long nextTerm() {
        return Math.max(highestTerm, epoch << TERM_BITS) + 1;
    }

    private String stamp() {
        // Random, because a restarted host must not repeat the stamps of its previous life.
        return self + "/" + Long.toHexString(random.nextLong()) + "/" + stamps++;
    }
}
