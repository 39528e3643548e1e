package org.gooseberryring.standins;

import java.util.Map;
import java.util.Set;

/**
 * Counters of a plain service stand-in.
 *
 * @param calls number of calls that took effect
 * @param byIdempotencyKey number of calls that took effect, by idempotency key
 * @param byRequestId number of calls that took effect, by request id
 * @param byMethod number of calls that took effect, by method
 * @param largestConcurrency largest number of concurrent calls
 * @param crashes number of crashes
 * @param headers received values by request header, at most 256 per header
 */
public record ServiceRecord(
        long calls,
        Map<String, Integer> byIdempotencyKey,
        Map<String, Integer> byRequestId,
        Map<String, Integer> byMethod,
        int largestConcurrency,
        int crashes,
        Map<String, Set<String>> headers) {}
