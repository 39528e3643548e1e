package org.gooseberryring.coordination.order;

import java.util.List;
import java.util.Random;

import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class DomainLeaseTest {
    private static final long LEASE_MILLIS = 5_000;
    private static final String KEY = DomainLease.key("d");

    private final OrderCodec codec = new MemoryOrderCodec();
    private byte[] stored;
    private long version;
    private int calls;
    private long epoch;
    private boolean storeDown;

    /** Guards against a failure domain that has no controller for one lease period after its hosts restarted. */
    @Test
    void restartedHostAcquiresItsOwnLeaseImmediately() {
        DomainLease before = lease("h1", 1);
        run(before, 0, 1_000);
        assertThat(before.isLeader(1_000)).isTrue();

        DomainLease after = lease("h1", 2);
        run(after, 1_200, 1_400);

        assertThat(after.isLeader(1_400)).isTrue();
        assertThat(after.term()).isEqualTo(before.term() + 1);
    }

    /** Guards against the same failure if the host that held the lease is no longer a candidate. */
    @Test
    void restartedHolderAcquiresItsOwnLeaseWithoutBeingCandidate() {
        DomainLease before = lease("h1", 1);
        run(before, 0, 1_000);
        DomainLease after = lease("h1", 2);
        after.setCandidate(false);
        run(after, 1_200, 1_400);
        assertThat(after.isLeader(1_400)).isTrue();
    }

    /** Guards against needless store reads by hosts that are not candidates. */
    @Test
    void hostThatIsNotCandidateReadsTheLeaseOnce() {
        run(lease("h1", 1), 0, 1_000);
        DomainLease other = lease("h2", 2);
        other.setCandidate(false);
        calls = 0;
        run(other, 1_200, 1_200 + 4 * LEASE_MILLIS);
        assertThat(other.isLeader(1_200 + 4 * LEASE_MILLIS)).isFalse();
        assertThat(calls).isEqualTo(1);
    }

    /** Guards against two hosts that send orders at the same time. */
    @Test
    void otherHostWaitsUntilTheLeaseExpires() {
        DomainLease holder = lease("h1", 1);
        run(holder, 0, 1_000);
        DomainLease other = lease("h2", 2);

        run(other, 1_000, 1_000 + LEASE_MILLIS - 100);
        assertThat(other.isLeader(1_000 + LEASE_MILLIS - 100)).isFalse();

        run(other, 1_000 + LEASE_MILLIS - 100, 1_000 + 3 * LEASE_MILLIS);
        assertThat(other.isLeader(1_000 + 3 * LEASE_MILLIS)).isTrue();
    }

    /** Guards against a controller that keeps its lease while it does not reach the endpoints that it orders. */
    @Test
    void suspendedHolderLeavesTheLeaseToAnotherHost() {
        DomainLease holder = lease("h1", 1);
        run(holder, 0, 1_000);
        DomainLease other = lease("h2", 2);
        holder.setSuspended(true);
        for (long at = 1_000; at <= 1_000 + 3 * LEASE_MILLIS; at += 50) {
            run(holder, at, at);
            run(other, at, at);
            assertThat(holder.isLeader(at) && other.isLeader(at)).isFalse();
        }
        assertThat(other.isLeader(1_000 + 3 * LEASE_MILLIS)).isTrue();
        holder.setSuspended(false);
        run(holder, 1_000 + 3 * LEASE_MILLIS, 1_000 + 3 * LEASE_MILLIS);
        assertThat(holder.isLeader(1_000 + 3 * LEASE_MILLIS)).isFalse();
    }

    /**
     * Guards against a second holder that acquires an expired lease from a restored copy although the first holder
     * renewed it after the copy was made.
     */
    @Test
    void hostWaitsForOneLeasePeriodAfterRestore() {
        epoch = 1;
        DomainLease holder = lease("h1", 1);
        run(holder, 0, 2 * LEASE_MILLIS);
        DomainLease other = lease("h2", 2);
        run(other, 2 * LEASE_MILLIS, 2 * LEASE_MILLIS);
        byte[] copy = stored;
        long copyVersion = version;
        // The other host reads nothing while the holder renews its lease, then the store is restored from the copy.
        run(holder, 2 * LEASE_MILLIS + 50, 4 * LEASE_MILLIS);
        assertThat(holder.isLeader(4 * LEASE_MILLIS)).isTrue();
        restore(copy, copyVersion);

        run(other, 4 * LEASE_MILLIS, 5 * LEASE_MILLIS - 100);
        assertThat(other.isLeader(5 * LEASE_MILLIS - 100)).isFalse();
        run(other, 5 * LEASE_MILLIS - 100, 7 * LEASE_MILLIS);
        assertThat(other.isLeader(7 * LEASE_MILLIS)).isTrue();
    }

    /**
     * Guards against a restarted host that acquires its old lease from a restored copy while another host holds the
     * lease.
     */
    @Test
    void restartedHostDoesNotAcquireItsLeaseFromRestoredCopy() {
        epoch = 1;
        run(lease("h1", 1), 0, 2 * LEASE_MILLIS);
        byte[] copy = stored;
        long copyVersion = version;
        DomainLease other = lease("h2", 2);
        run(other, 2 * LEASE_MILLIS, 5 * LEASE_MILLIS);
        assertThat(other.isLeader(5 * LEASE_MILLIS)).isTrue();
        restore(copy, copyVersion);

        DomainLease restarted = lease("h1", 3);
        run(restarted, 5 * LEASE_MILLIS, 6 * LEASE_MILLIS - 100);
        assertThat(restarted.isLeader(6 * LEASE_MILLIS - 100)).isFalse();
    }

    /** Guards against fencing numbers that decrease or are reused because the store lost the latest ones. */
    @Test
    void fencingNumbersIncreaseAcrossRestore() {
        epoch = 1;
        DomainLease first = lease("h1", 1);
        run(first, 0, 2 * LEASE_MILLIS);
        byte[] copy = stored;
        long copyVersion = version;
        DomainLease second = lease("h2", 2);
        run(second, 2 * LEASE_MILLIS, 5 * LEASE_MILLIS);
        long used = second.term();
        restore(copy, copyVersion);

        DomainLease third = lease("h3", 3);
        run(third, 5 * LEASE_MILLIS, 8 * LEASE_MILLIS);
        assertThat(third.isLeader(8 * LEASE_MILLIS)).isTrue();
        assertThat(third.term()).isGreaterThan(used);
    }

    /**
     * Guards against a fencing number that is reused because a delayed write of an earlier epoch replaced the lease.
     */
    @Test
    void fencingNumberReportedByOtherHostIsNotReused() {
        epoch = 1;
        DomainLease lease = lease("h1", 1);
        lease.recordUsedTerm((1L << 24) + 7);
        run(lease, 0, 3 * LEASE_MILLIS);
        assertThat(lease.term()).isEqualTo((1L << 24) + 8);
    }

    /** Guards against a holder that continues after the store lost its lease. */
    @Test
    void holderIsNotLeaderAfterRestore() {
        epoch = 1;
        DomainLease holder = lease("h1", 1);
        run(holder, 0, 2 * LEASE_MILLIS);
        assertThat(holder.isLeader(2 * LEASE_MILLIS)).isTrue();
        holder.onEpoch(2, 2 * LEASE_MILLIS + 10);
        assertThat(holder.isLeader(2 * LEASE_MILLIS + 10)).isFalse();
    }

    /** Guards against treating a write that expects a version of the earlier epoch as a renewal. */
    @Test
    void writeThatSpansRestoreIsReadBack() {
        epoch = 1;
        DomainLease holder = lease("h1", 1);
        run(holder, 0, 2 * LEASE_MILLIS);
        StoreRequest renewal = null;
        for (long now = 2 * LEASE_MILLIS; renewal == null; now += 50) {
            List<OrderEffect> due = holder.onTick(now);
            renewal = due.isEmpty() ? null : ((OrderEffect.Call) due.get(0)).request();
        }
        epoch++;
        holder.onReply(reply(renewal), 3 * LEASE_MILLIS);
        assertThat(holder.isLeader(3 * LEASE_MILLIS)).isFalse();
        run(holder, 3 * LEASE_MILLIS, 4 * LEASE_MILLIS - 100);
        assertThat(holder.isLeader(4 * LEASE_MILLIS - 100)).isFalse();
    }

    /**
     * Guards against a failure domain that has no controller for many seconds after a store outage. The holder would
     * wait for the retry delay of the last failed calls and then for one lease period, although no other host can have
     * acquired the lease.
     */
    @Test
    void holderIsLeaderAgainSoonAfterOutage() {
        DomainLease holder = lease("h1", 1);
        run(holder, 0, 2 * LEASE_MILLIS);
        long term = holder.term();
        storeDown = true;
        run(holder, 2 * LEASE_MILLIS, 5 * LEASE_MILLIS);
        assertThat(holder.isLeader(5 * LEASE_MILLIS)).isFalse();
        storeDown = false;

        run(holder, 5 * LEASE_MILLIS, 5 * LEASE_MILLIS + 1_000);

        assertThat(holder.isLeader(5 * LEASE_MILLIS + 1_000)).isTrue();
        assertThat(holder.term()).isEqualTo(term);
    }

    /** Guards against a holder that continues after an outage during which another host acquired the lease. */
    @Test
    void holderLosesLeaseThatOtherHostAcquired() {
        DomainLease holder = lease("h1", 1);
        run(holder, 0, 2 * LEASE_MILLIS);
        DomainLease other = lease("h2", 2);
        run(other, 2 * LEASE_MILLIS, 5 * LEASE_MILLIS);
        assertThat(other.isLeader(5 * LEASE_MILLIS)).isTrue();

        run(holder, 5 * LEASE_MILLIS, 5 * LEASE_MILLIS + 1_000);

        assertThat(holder.isLeader(5 * LEASE_MILLIS + 1_000)).isFalse();
    }

    /** Restores the store from a copy. */
    private void restore(byte[] copy, long copyVersion) {
        epoch++;
        stored = copy;
        version = copyVersion;
    }

    private DomainLease lease(String host, long seed) {
        return new DomainLease(host, "d", LEASE_MILLIS, codec, new Random(seed));
    }

    /** Runs the lease of a host every 50 ms; the store replies to each call immediately. */
    private void run(DomainLease lease, long from, long to) {
        for (long now = from; now <= to; now += 50) {
            List<OrderEffect> calls = lease.onTick(now);
            while (!calls.isEmpty()) {
                StoreRequest request = ((OrderEffect.Call) calls.get(0)).request();
                calls = lease.onReply(reply(request), now);
            }
        }
    }

    private StoreReply reply(StoreRequest request) {
        calls++;
        if (storeDown) {
            return new StoreReply(KEY, StoreOutcome.UNAVAILABLE, 0, null);
        }
        if (request instanceof StoreRequest.Put put) {
            if (put.expectedVersion() != version) {
                return new StoreReply(KEY, StoreOutcome.CONFLICT, 0, null, epoch);
            }
            stored = put.value();
            return new StoreReply(KEY, StoreOutcome.OK, ++version, null, epoch);
        }
        return stored == null
                ? new StoreReply(KEY, StoreOutcome.ABSENT, 0, null, epoch)
                : new StoreReply(KEY, StoreOutcome.OK, version, stored, epoch);
    }
}
