package org.gooseberryring.host.entry;

import java.util.function.LongSupplier;

import org.gooseberryring.coordination.order.DomainLease;

/**
 * Decides whether this host may send orders to the endpoints of its failure domain.
 *
 * <p>Besides a lease that was renewed a short time ago, no suspension of the machine may lie between the sending of that
 * renewal and now: the lease may have run out meanwhile, although the monotonic clock shows no time that has passed.
 */
final class OrderPermission {
    /** Milliseconds after the last renewal was sent for which orders may be sent. */
    static final long ORDER_MILLIS = 1_900;

    private final DomainLease lease;
    private final SuspensionGuard guard;

    /** Creates the right that a lease gives; {@code wallClock} gives milliseconds since the Unix epoch. */
    OrderPermission(DomainLease lease, LongSupplier wallClock) {
        this.lease = lease;
        this.guard = new SuspensionGuard(wallClock);
    }

    /** Returns whether orders may be sent now; must be called before each renewal, at the same time. */
    boolean holds(long now) {
        boolean steady = guard.steadySince(lease.renewedAt(), now);
        return steady && lease.renewedWithin(ORDER_MILLIS, now);
    }
}
