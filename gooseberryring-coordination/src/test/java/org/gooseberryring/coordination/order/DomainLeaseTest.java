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

    /** Guards against a failure domain without a controller for a whole lease after its hosts were restarted. */
    @Test
    void aRestartedHostTakesItsOwnLeaseAtOnce() {
        DomainLease before = lease("h1", 1);
        run(before, 0, 1_000);
        assertThat(before.leads(1_000)).isTrue();

        DomainLease after = lease("h1", 2);
        run(after, 1_200, 1_400);

        assertThat(after.leads(1_400)).isTrue();
        assertThat(after.term()).isEqualTo(before.term() + 1);
    }

    /** Guards against the same where the host that held the lease is not among those that follow it. */
    @Test
    void aRestartedHolderTakesItsOwnLeaseAlthoughItIsNoCandidate() {
        DomainLease before = lease("h1", 1);
        run(before, 0, 1_000);
        DomainLease after = lease("h1", 2);
        after.candidate(false);
        run(after, 1_200, 1_400);
        assertThat(after.leads(1_400)).isTrue();
    }

    /** Guards against hosts that follow a lease which is none of their business. */
    @Test
    void aHostThatIsNoCandidateReadsTheLeaseOnce() {
        run(lease("h1", 1), 0, 1_000);
        DomainLease other = lease("h2", 2);
        other.candidate(false);
        calls = 0;
        run(other, 1_200, 1_200 + 4 * LEASE_MILLIS);
        assertThat(other.leads(1_200 + 4 * LEASE_MILLIS)).isFalse();
        assertThat(calls).isEqualTo(1);
    }

    /** Guards against two hosts that order at the same time. */
    @Test
    void anotherHostWaitsUntilTheLeaseHasRunOut() {
        DomainLease holder = lease("h1", 1);
        run(holder, 0, 1_000);
        DomainLease other = lease("h2", 2);

        run(other, 1_000, 1_000 + LEASE_MILLIS - 100);
        assertThat(other.leads(1_000 + LEASE_MILLIS - 100)).isFalse();

        run(other, 1_000 + LEASE_MILLIS - 100, 1_000 + 3 * LEASE_MILLIS);
        assertThat(other.leads(1_000 + 3 * LEASE_MILLIS)).isTrue();
    }

    private DomainLease lease(String host, long seed) {
        return new DomainLease(host, "d", LEASE_MILLIS, codec, new Random(seed));
    }

    /** Lets a host call the store every 50 ms; each call is answered at once. */
    private void run(DomainLease lease, long from, long to) {
        for (long now = from; now <= to; now += 50) {
            List<OrderEffect> calls = lease.onTick(now);
            while (!calls.isEmpty()) {
                StoreRequest request = ((OrderEffect.Call) calls.get(0)).request();
                calls = lease.onReply(answer(request), now);
            }
        }
    }

    private StoreReply answer(StoreRequest request) {
        calls++;
        if (request instanceof StoreRequest.Put put) {
            if (put.expectedVersion() != version) {
                return new StoreReply(KEY, StoreOutcome.CONFLICT, 0, null);
            }
            stored = put.value();
            return new StoreReply(KEY, StoreOutcome.OK, ++version, null);
        }
        return stored == null
                ? new StoreReply(KEY, StoreOutcome.ABSENT, 0, null)
                : new StoreReply(KEY, StoreOutcome.OK, version, stored);
    }
}
