package org.gooseberryring.coordination.ratelimit;

/** What a permit is used for; each purpose of a host waits for permits by itself. */
public enum PermitPurpose {
    /** Requests of callers. */
    REQUEST,
    /** Statuses, orders and health checks. */
    CONTROL
}
