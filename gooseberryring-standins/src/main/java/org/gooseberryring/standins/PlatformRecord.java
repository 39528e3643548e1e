package org.gooseberryring.standins;

import java.util.Map;

/**
 * Record of a platform stand-in.
 *
 * @param calls calls received, by kind
 * @param watchesPending long polls that wait for a change
 * @param lostAnswers answers lost after their call took effect
 * @param largestObjectBytes size of the largest value written, in bytes
 */
public record PlatformRecord(Map<String, Long> calls, int watchesPending, long lostAnswers, long largestObjectBytes) {}
