package org.gooseberryring.coordination.residency;

/** Answer of an endpoint to an order. */
public enum OrderResult {
    /** The order is carried out from now on. */
    ACCEPTED,
    /** What is ordered holds already. */
    HOLDS,
    /** Another order is under way, or others were accepted meanwhile; nothing was done. */
    CONFLICT,
    /** The endpoint refused the order for another reason; nothing was done. */
    REFUSED,
    /** There was no answer; the order may be carried out, also later. */
    UNKNOWN
}
