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
    private final StoredObject<LeaseDocument> cell;
    private final RandomGenerator random;
    private LeaseDocument seen;
    private long seenSince;
    private long nextCallAt;
    private long renewedAt;
    /** Whether the document in the store is of this process as far as it knows, also if the lease has lapsed. */
    private boolean owned;

    private boolean candidate = true;
    private boolean left;
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
        this.cell = new StoredObject<>(
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
    public boolean leads(long now) {
        return owned && now - renewedAt < leaseMillis;
    }

    /** Returns whether this host is the controller and renewed its lease within the given milliseconds. */
    public boolean renewedWithin(long millis, long now) {
        return owned && now - renewedAt < millis;
    }

    /** Returns the time at which the renewal in force was sent. */
    public long renewedAt() {
        return renewedAt;
    }

    /** Returns the fencing number; only meaningful while this host leads. */
    public long term() {
        return cell.doc().term();
    }

    /** Takes over a fencing number that was used, as another host or an older document states; it is not used again. */
    public void onTerm(long usedTerm) {
        highestTerm = Math.max(highestTerm, usedTerm);
    }

    /** Sets whether this host may take the lease; only a few hosts of a failure domain watch it. */
    public void candidate(boolean mayLead) {
        candidate = mayLead;
    }

    /** Takes the lease no more, also if an earlier process of this host holds it. */
    public void leave() {
        left = true;
    }

    /**
     * Returns whether this host may take the lease: as a candidate, or because an earlier process of its own may hold it,
     * which no other host knows to have ended.
     */
    private boolean mayTake() {
        boolean own = seen == null || seen.holder().equals(self);
        return !left && (candidate || own);
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
            cell.restored(newEpoch);
            owned = false;
            seen = null;
            seenSince = now;
            nextCallAt = now;
        }
    }

    /** Returns the calls to the store that are due. */
    public List<OrderEffect> onTick(long now) {
        List<OrderEffect> effects = new ArrayList<>(cell.onTick(now));
        if (!mayTake() && !owned || !cell.idle() || now < nextCallAt) {
            return effects;
        }
        long period = leaseMillis / RENEWALS_PER_LEASE;
        nextCallAt = now + period / 2 + random.nextLong(period / 2 + 1);
        LeaseDocument doc = cell.doc();
        if (owned) {
            // Also late: a write under the known version succeeds only if nobody else has taken the lease.
            effects.addAll(cell.put(new LeaseDocument(stamp(), self, doc.term(), doc.renewals() + 1, epoch), now));
        } else if (seen != null && now - seenSince >= leaseMillis) {
            effects.addAll(cell.put(new LeaseDocument(stamp(), self, nextTerm(), 0, epoch), now));
        } else {
            effects.addAll(cell.read());
        }
        return effects;
    }

    /** Handles a reply of the store; returns further calls. */
    public List<OrderEffect> onReply(StoreReply reply, long now) {
        List<OrderEffect> effects = new ArrayList<>();
        if (reply.hasObjectState()) {
            onEpoch(reply.epoch(), now);
        }
        switch (cell.onReply(reply, now, effects)) {
            case WRITTEN:
                owned = true;
                renewedAt = cell.putSentAt();
                nextCallAt = now - renewedAt < leaseMillis / RENEWALS_PER_LEASE ? nextCallAt : now;
                break;
            case LOST:
            case READ:
                owned = false;
                break;
            default:
                return effects;
        }
        onTerm(cell.doc().term());
        if (!cell.doc().equals(seen)) {
            boolean free = isFree(cell.doc());
            seenSince = free ? now - leaseMillis : now;
            seen = cell.doc();
            nextCallAt = free ? now : nextCallAt;
        }
        return effects;
    }

    /**
     * Returns whether nobody else can hold the lease. One of an earlier process of this host is as free as one without a
     * holder, because that process has ended. A document of an earlier epoch shows only who held it before the store came
     * back from an older copy.
     */
    private boolean isFree(LeaseDocument doc) {
        boolean ownPast = !owned && doc.holder().equals(self);
        return doc.epoch() == epoch && (doc.holder().isEmpty() || ownPast);
    }

    private long nextTerm() {
        return Math.max(highestTerm, epoch << TERM_BITS) + 1;
    }

    private String stamp() {
        // Random, because a restarted host must not repeat the stamps of its previous life.
        return self + "/" + Long.toHexString(random.nextLong()) + "/" + stamps++;
    }
}
