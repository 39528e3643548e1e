package org.gooseberryring.protocol;

/**
 * State of an order at a model engine, as returned by {@code GET /v1/orders/{orderId}}.
 *
 * @param orderId identifier of the order
 * @param status status of the order
 * @param detail reason for a failure, or null
 */
public record OrderState(String orderId, Status status, String detail) {
    /** Status of an order. */
    public enum Status {
        /** The engine does not know the order. */
        UNKNOWN,
        /** The order was accepted and is not completed. */
        PENDING,
        /** The order took effect. */
        DONE,
        /** The order failed and had no effect. */
        FAILED,
        /** The order was rejected because of an outdated fencing number. */
        FENCED
    }
}
