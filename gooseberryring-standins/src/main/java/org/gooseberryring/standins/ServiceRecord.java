package org.gooseberryring.standins;

import java.util.Map;
import java.util.Set;

/**
 * Record of a plain service stand-in.
 *
 * @param calls calls that took effect
 * @param byIdempotencyKey calls that took effect by idempotency key
 * @param byRequestId calls that took effect by request id
 * @param byMethod calls that took effect by method
 * @param largestConcurrency largest number of calls that ran at once
 * @param crashes how often it crashed
 * @param headers values seen of each request header, at most 256 each
 */
public record ServiceRecord(
        long calls,
        Map<String, Integer> byIdempotencyKey,
        Map<String, Integer> byRequestId,
        Map<String, Integer> byMethod,
        int largestConcurrency,
        int crashes,
        Map<String, Set<String>> headers) {}
