package org.gooseberryring.protocol;

/**
 * State of an order at a model engine, as {@code GET /v1/orders/{orderId}} answers it.
 *
 * @param orderId identifier of the order
 * @param status what has become of it
 * @param detail reason of a failure, or null
 */
public record OrderState(String orderId, Status status, String detail) {
    /** Status of an order. */
    public enum Status {
        /** The engine does not know the order. */
        UNKNOWN,
        /** The order was accepted and is not finished. */
        PENDING,
        /** The order took effect. */
        DONE,
        /** The order failed and has no effect. */
        FAILED,
        /** The order carried an old fencing number and was refused. */
        FENCED
    }
}
