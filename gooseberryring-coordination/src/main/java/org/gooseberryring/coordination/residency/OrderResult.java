package org.gooseberryring.coordination.residency;

/** Result of an order. */
public enum OrderResult {
    /** The endpoint has accepted the order and executes it. */
    ACCEPTED,
    /** The requested state is already reached. */
    HOLDS,
    /** Another order is being executed, or others were accepted in the meantime; the order had no effect. */
    CONFLICT,
    /** The endpoint rejected the order for another reason; the order had no effect. */
    REFUSED,
    /** There was no response; the order may have been executed or may still be executed later. */
    UNKNOWN
}
