package org.gooseberryring.standins;

import java.util.Locale;

/** Fault switches of the stand-ins; a switch that counts is used up by one with each fault. */
public enum InjectedFault {
    /** Answers every call with 503 and without effect. */
    DOWN,
    /** Gives no answer and has no effect. */
    HANG,
    /** Delays each answer by this many milliseconds. */
    SLOW_MILLIS,
    /** Counts the answers to lose after the call took effect. */
    LOSE_ANSWERS,
    /** Counts the reads that return the value before the last write. */
    STALE_READS,
    /** Limits writes a second; further ones get 429. */
    WRITES_PER_SECOND,
    /** Limits reads a second; further ones get 429. */
    READS_PER_SECOND,
    /** Names a text whose appearance in a body crashes the stand-in. */
    CRASH_MARKER,
    /** Restarts a crashed stand-in after this many milliseconds; unset leaves it crashed. */
    RESTART_AFTER_MILLIS,
    /** Makes an engine cold. */
    COLD,
    /** Sets the concurrency above which a cold engine crashes. */
    COLD_CAPACITY,
    /** Sets the requests that a cold engine completes before it is warm; unset leaves it cold. */
    COLD_REQUESTS,
    /** Counts the answers that carry another request id. */
    WRONG_REQUEST_ID,
    /** Counts the answers that are cut. */
    CUT_ANSWERS,
    /** Sets the body bytes sent before a cut. */
    CUT_AFTER_BYTES,
    /** Counts the answers that stop after their first part without an end. */
    STALL_ANSWERS,
    /** Counts the orders that are lost before they take effect. */
    LOSE_ORDERS,
    /** Counts the orders whose answers are lost after they took effect. */
    LOSE_ORDER_ANSWERS,
    /** Delays the effect of each order by this many milliseconds. */
    DELAY_ORDERS_MILLIS,
    /** Counts the orders that are applied twice. */
    APPLY_ORDERS_TWICE,
    /** Sets the milliseconds between the two applications of an order. */
    APPLY_AGAIN_MILLIS,
    /** Counts the cache events that are lost. */
    LOSE_CACHE_EVENTS;

    /** Returns the name used in JSON, such as {@code slow-millis}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static InjectedFault ofWireName(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
