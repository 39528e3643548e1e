package org.gooseberryring.standins;

import java.util.Map;

/**
 * Counters of a platform stand-in.
 *
 * @param calls number of received calls, by kind
 * @param watchesPending number of long polls that wait for a change
 * @param lostAnswers number of responses dropped after their call took effect
 * @param largestObjectBytes size of the largest value written, in bytes
 */
public record PlatformRecord(Map<String, Long> calls, int watchesPending, long lostAnswers, long largestObjectBytes) {}
