package org.gooseberryring.coordination.membership;

/** State of a host; of two states with equal incarnation and refutation, the later one in this order supersedes. */
public enum MemberState {
    /** The host replies to probes. */
    ALIVE,
    /** The host did not reply to a probe and may refute the suspicion. */
    SUSPECT,
    /** The host is shutting down and accepts no new work. */
    LEAVING,
    /** The host has stopped or cannot be reached. */
    DEAD
}
