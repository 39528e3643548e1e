package org.gooseberryring.coordination.store;

/** Outcome of a call to the object store. */
public enum StoreOutcome {
    /** The call took effect. */
    OK,
    /** The object does not exist. */
    ABSENT,
    /** The object does not have the expected version; nothing was written. */
    CONFLICT,
    /** The call certainly took no effect. */
    UNAVAILABLE,
    /** The call may have taken effect; the caller must read the object before it relies on either outcome. */
    UNKNOWN
}
