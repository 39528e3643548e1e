package org.gooseberryring.coordination.limit;

import org.gooseberryring.coordination.store.StoreRequest;

/** Action that the limit components request from their host. */
public sealed interface LimitEffect {
    /**
     * Sends a message to a host, which may be this one.
     *
     * @param host identifier of the receiver
     * @param message message to send
     */
    record Send(String host, TokenMessage message) implements LimitEffect {}

    /**
     * Reports the decision on a request whose reservation was pending.
     *
     * @param requestId request that was pending
     * @param admission final decision
     */
    record Decided(String requestId, Admission admission) implements LimitEffect {}

    /**
     * Calls the object store.
     *
     * @param request call to make
     */
    record Store(StoreRequest request) implements LimitEffect {}
}
