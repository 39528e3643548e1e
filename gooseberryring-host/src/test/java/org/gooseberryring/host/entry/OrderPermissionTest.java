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

    private long wallMillis = 1_700_000_000_000L;
    private long now = START;
    private long version = 1;
    private DomainLease lease;
    private OrderPermission permission;

    @BeforeEach
    void acquireLease() {
        lease = new DomainLease("host-1", "domain-a", LEASE_MILLIS, new JsonOrderCodec(), new Random(1));
        permission = new OrderPermission(lease, () -> wallMillis);
        permission.isGranted(now);
        advance(50);
        String key = DomainLease.key("domain-a");
        lease.onTick(now);
        lease.onReply(new StoreReply(key, StoreOutcome.ABSENT, 0, null), now);
        handleWriteReply(nextRequest());
    }

    /** Guards against a host that never sends orders. */
    @Test
    void permitsOrdersForALimitedTimeAfterARenewal() {
        assertThat(permission.isGranted(now)).isTrue();

        advance(OrderPermission.ORDER_MILLIS);

        assertThat(permission.isGranted(now)).isFalse();
    }

    /** Guards against orders of a host that was suspended while another one acquired its lease. */
    @Test
    void deniesOrdersAfterASuspensionUntilTheLeaseIsRenewed() {
        wallMillis += 8_000;

        assertThat(permission.isGranted(now)).isFalse();

        handleWriteReply(nextRequest());

        assertThat(permission.isGranted(now)).isTrue();
    }

    /** Guards against a renewal whose reply arrives before the suspension and is handled only after it. */
    @Test
    void renewalSentBeforeASuspensionDoesNotPermitOrders() {
        StoreRequest renewal = nextRequest();

        wallMillis += 8_000;
        permission.isGranted(now);
        handleWriteReply(renewal);

        assertThat(permission.isGranted(now)).isFalse();
    }

    /** Guards against the same failure if the reply is handled before the suspension is detected. */
    @Test
    void detectsASuspensionAfterTheReplyToTheRenewal() {
        StoreRequest renewal = nextRequest();

        wallMillis += 8_000;
        handleWriteReply(renewal);

        assertThat(permission.isGranted(now)).isFalse();
    }

    /** Advances the time until the lease makes a store call, and returns the request. */
    private StoreRequest nextRequest() {
        while (true) {
            permission.isGranted(now);
            List<OrderEffect> effects = lease.onTick(now);
            if (!effects.isEmpty()) {
                return ((OrderEffect.Call) effects.get(0)).request();
            }
            advance(50);
        }
    }

    private void handleWriteReply(StoreRequest renewal) {
        lease.onReply(new StoreReply(renewal.key(), StoreOutcome.OK, ++version, null), now);
    }

    private void advance(long millis) {
        now += millis;
        wallMillis += millis;
    }
}
