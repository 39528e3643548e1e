package org.gooseberryring.standins;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.state.Artifact;

/**
 * Counters and state of an engine stand-in as the stand-in itself records them.
 *
 * @param incarnation current incarnation
 * @param crashes number of crashes
 * @param cold whether the engine is currently cold
 * @param started number of starts by request id
 * @param completed number of complete runs by request id
 * @param cancelled number of requests cancelled by their sender
 * @param interrupted number of requests that ended before they were complete
 * @param unloadedWhileRunning number of requests interrupted because their artifact was unloaded
 * @param notLoaded number of requests rejected because their artifact was not loaded
 * @param largestConcurrency largest number of concurrent requests
 * @param memoryUsedBytes memory in use including loads in progress, in bytes
 * @param memoryPeakBytes largest amount of memory that was ever in use or requested, in bytes
 * @param memoryOvercommitted whether more memory than the total was ever in use or requested
 * @param loaded artifacts that are loaded
 * @param ordersApplied number of times that each order took effect, by order id
 * @param ordersFenced number of orders rejected because of an old fencing number
 * @param headers received values by request header, at most 256 per header
 */
public record EngineRecord(
        long incarnation,
        int crashes,
        boolean cold,
        Map<String, Integer> started,
        Map<String, Integer> completed,
        long cancelled,
        long interrupted,
        long unloadedWhileRunning,
        long notLoaded,
        int largestConcurrency,
        long memoryUsedBytes,
        long memoryPeakBytes,
        boolean memoryOvercommitted,
        List<Artifact> loaded,
        Map<String, Integer> ordersApplied,
        long ordersFenced,
        Map<String, Set<String>> headers) {}
