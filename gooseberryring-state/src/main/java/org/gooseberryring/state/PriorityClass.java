package org.gooseberryring.state;

/** Priority class of a request; an earlier class is served first within the guaranteed shares. */
public enum PriorityClass {
    /** Work that somebody waits for and that is of high value. */
    HIGH,
    /** Interactive work. */
    NORMAL,
    /** Work that can wait. */
    BATCH
}
