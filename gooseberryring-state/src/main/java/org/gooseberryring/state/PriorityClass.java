package org.gooseberryring.state;

/** Priority class of a request; an earlier class is served first within the guaranteed shares. */
public enum PriorityClass {
    /** Interactive requests of high importance. */
    HIGH,
    /** Interactive requests. */
    NORMAL,
    /** Requests that can be delayed. */
    BATCH
}
