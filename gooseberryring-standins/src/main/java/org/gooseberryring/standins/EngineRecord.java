package org.gooseberryring.standins;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gooseberryring.state.Artifact;

/**
 * Record of an engine stand-in by its own account.
 *
 * @param incarnation present incarnation
 * @param crashes how often it crashed
 * @param cold whether it is cold now
 * @param started how often each request id was started
 * @param completed how often each request id ran to the end
 * @param cancelled requests cancelled by their sender
 * @param interrupted requests that ended without being complete
 * @param unloadedWhileRunning requests cut because their artifact was unloaded
 * @param notLoaded requests refused because their artifact was not loaded
 * @param largestConcurrency largest number of requests that ran at once
 * @param memoryUsedBytes memory in use including loads in progress, in bytes
 * @param memoryPeakBytes largest memory that was in use or asked for, in bytes
 * @param memoryOvercommitted whether more than the total was ever in use or asked for
 * @param loaded artifacts that are loaded
 * @param ordersApplied how often each order took effect
 * @param ordersFenced orders refused for an old fencing number
 * @param headers values seen of each request header, at most 256 each
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
