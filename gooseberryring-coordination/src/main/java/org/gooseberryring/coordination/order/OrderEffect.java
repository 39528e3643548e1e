package org.gooseberryring.coordination.order;

import org.gooseberryring.coordination.store.StoreRequest;

/** Action that the owner of an {@link OrderController} must perform. */
public sealed interface OrderEffect {
    /** Sends a request to the store and passes its reply to {@link OrderController#onStoreReply}. */
    record Call(StoreRequest request) implements OrderEffect {}

    /** Sends an order once, without retries, and drops it if it cannot be sent within the send window. */
    record Send(String endpoint, Order order) implements OrderEffect {}

    /** Requests a load report from an endpoint and passes it to {@link OrderController#onReport}. */
    record RequestReport(String endpoint) implements OrderEffect {}
}
