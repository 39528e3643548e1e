package org.gooseberryring.coordination.membership;

/** State of a host as others see it; of two states with the same numbers the later one in this order holds. */
public enum MemberState {
    /** The host answers probes. */
    ALIVE,
    /** The host did not answer a probe and may refute that. */
    SUSPECT,
    /** The host shuts down and takes no new work. */
    LEAVING,
    /** The host is gone. */
    DEAD
}
