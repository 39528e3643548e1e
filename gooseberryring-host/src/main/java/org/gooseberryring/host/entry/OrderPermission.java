package org.gooseberryring.host.entry;

import java.util.function.LongSupplier;

import org.gooseberryring.coordination.order.DomainLease;

/**
 * Decides whether this host may send orders to the endpoints of its failure domain.
 *
 * <p>The lease must have been renewed recently, and the machine must not have been suspended since that renewal was sent:
 * the lease may have expired during the suspension, while the monotonic clock stood still.
 */
final class OrderPermission {
    /** Milliseconds for which orders may be sent after the last renewal was sent. */
    static final long ORDER_MILLIS = 1_900;

    private final DomainLease lease;
    private final SuspensionGuard guard;

    /** Creates the permission for a lease; {@code wallClock} gives milliseconds since the Unix epoch. */
    OrderPermission(DomainLease lease, LongSupplier wallClock) {
        this.lease = lease;
        this.guard = new SuspensionGuard(wallClock);
    }

    /** Returns whether orders may be sent now; must be called before each renewal, with the same time. */
    boolean isGranted(long now) {
        boolean steady = guard.isSteadySince(lease.renewedAt(), now);
        return steady && lease.renewedWithin(ORDER_MILLIS, now);
    }
}
