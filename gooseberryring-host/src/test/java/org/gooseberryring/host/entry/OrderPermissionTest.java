package org.gooseberryring.host.entry;

import java.util.List;
import java.util.Random;

import org.gooseberryring.coordination.order.DomainLease;
import org.gooseberryring.coordination.order.OrderEffect;
import org.gooseberryring.coordination.store.StoreOutcome;
import org.gooseberryring.coordination.store.StoreReply;
import org.gooseberryring.coordination.store.StoreRequest;
import org.gooseberryring.host.control.JsonOrderCodec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class OrderPermissionTest {
    private static final long LEASE_MILLIS = 5_100;
    private static final long START = 100_000;

    private long wall = 1_700_000_000_000L;
    private long now = START;
    private long version = 1;
    private DomainLease lease;
    private OrderPermission right;

    @BeforeEach
    void takeTheLease() {
        lease = new DomainLease("host-1", "domain-a", LEASE_MILLIS, new JsonOrderCodec(), new Random(1));
        right = new OrderPermission(lease, () -> wall);
        right.holds(now);
        pass(50);
        String key = DomainLease.key("domain-a");
        lease.onTick(now);
        lease.onReply(new StoreReply(key, StoreOutcome.ABSENT, 0, null), now);
        written(due());
    }

    /** Guards against a host that never orders. */
    @Test
    void ordersMayBeSentForAShortTimeAfterARenewal() {
        assertThat(right.holds(now)).isTrue();

        pass(OrderPermission.ORDER_MILLIS);

        assertThat(right.holds(now)).isFalse();
    }

    /** Guards against orders of a host that slept while another one took its lease. */
    @Test
    void noOrderIsSentAfterASuspensionUntilTheLeaseIsRenewed() {
        wall += 8_000;

        assertThat(right.holds(now)).isFalse();

        written(due());

        assertThat(right.holds(now)).isTrue();
    }

    /** Guards against a renewal that was answered before the suspension and is read only after it. */
    @Test
    void aRenewalThatWasSentBeforeASuspensionGivesNoRight() {
        StoreRequest renewal = due();

        wall += 8_000;
        right.holds(now);
        written(renewal);

        assertThat(right.holds(now)).isFalse();
    }

    /** Guards against the same where the answer is handled before the suspension is noticed. */
    @Test
    void aSuspensionIsNoticedAfterTheAnswerToTheRenewalToo() {
        StoreRequest renewal = due();

        wall += 8_000;
        written(renewal);

        assertThat(right.holds(now)).isFalse();
    }

    /** Lets time pass until the lease has a call to make, and returns it. */
    private StoreRequest due() {
        while (true) {
            right.holds(now);
            List<OrderEffect> effects = lease.onTick(now);
            if (!effects.isEmpty()) {
                return ((OrderEffect.Call) effects.get(0)).request();
            }
            pass(50);
        }
    }

    private void written(StoreRequest renewal) {
        lease.onReply(new StoreReply(renewal.key(), StoreOutcome.OK, ++version, null), now);
    }

    private void pass(long millis) {
        now += millis;
        wall += millis;
    }
}
