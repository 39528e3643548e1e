package org.gooseberryring.standins;

import java.util.Locale;

/** Fault switches of the stand-ins. Each injected fault decrements a counting switch; at 0 the switch is cleared. */
public enum InjectedFault {
    /** Responds to every call with status 503; the call has no effect. */
    DOWN,
    /** Sends no response; the call has no effect. */
    HANG,
    /** Delays each response by this many milliseconds. */
    SLOW_MILLIS,
    /** Number of responses to drop after the call took effect. */
    LOSE_ANSWERS,
    /** Number of reads that return the value before the last write. */
    STALE_READS,
    /** Maximum number of writes per second; further writes get status 429. */
    WRITES_PER_SECOND,
    /** Maximum number of reads per second; further reads get status 429. */
    READS_PER_SECOND,
    /** Text that crashes the stand-in if a request body contains it. */
    CRASH_MARKER,
    /** Delay in milliseconds before a crashed stand-in restarts; if unset, it does not restart by itself. */
    RESTART_AFTER_MILLIS,
    /** Makes an engine cold. */
    COLD,
    /** Number of concurrent requests above which a cold engine crashes; at least 1. */
    COLD_CAPACITY,
    /** Number of completed requests after which a cold engine is warm; if unset, it stays cold. */
    COLD_REQUESTS,
    /** Number of responses that carry another request id. */
    WRONG_REQUEST_ID,
    /** Number of responses that are cut off by closing the connection. */
    CUT_ANSWERS,
    /** Number of body bytes sent before a response is cut off. */
    CUT_AFTER_BYTES,
    /** Number of responses that stall after their first part on an open connection. */
    STALL_ANSWERS,
    /** Number of orders that are lost before they take effect. */
    LOSE_ORDERS,
    /** Number of orders whose responses are lost after the order took effect. */
    LOSE_ORDER_ANSWERS,
    /** Delay in milliseconds before each order takes effect. */
    DELAY_ORDERS_MILLIS,
    /** Number of orders that are applied twice. */
    APPLY_ORDERS_TWICE,
    /** Time between the two applications of an order, in milliseconds. */
    APPLY_AGAIN_MILLIS,
    /** Number of cache events that are lost. */
    LOSE_CACHE_EVENTS;

    /** Returns the name used in JSON, such as {@code slow-millis}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static InjectedFault ofWireName(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
