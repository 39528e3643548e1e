package org.gooseberryring.coordination.order;

import org.gooseberryring.coordination.store.StoreRequest;

/** What the owner of an {@link OrderController} has to do. */
public sealed interface OrderEffect {
    /** Sends a call to the store and hands its reply to {@link OrderController#onStoreReply}. */
    record Call(StoreRequest request) implements OrderEffect {}

    /** Sends an order once, without any repetition, and drops it if it cannot be sent within the send window. */
    record Send(String endpoint, Order order) implements OrderEffect {}

    /** Asks an endpoint for a load report and hands it to {@link OrderController#onReport}. */
    record RequestReport(String endpoint) implements OrderEffect {}
}
