package org.gooseberryring.coordination.placement;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tracks the demand for each model as the mean number of running and waiting requests.
 *
 * <p>A fast mean follows a tenfold rise within an hour. A slow mean prevents a short drop from removing replicas.
 */
public final class DemandTracker {
    private static final long FAST_HALF_LIFE_MILLIS = 60_000;
    private static final long SLOW_HALF_LIFE_MILLIS = 900_000;

    private final SortedMap<String, Demand> demands = new TreeMap<>();

    /**
     * Demand for one model.
     *
     * @param fast mean over about a minute, in requests
     * @param slow mean over about a quarter of an hour, in requests
     * @param at time of the last sample, monotonic milliseconds
     */
    public record Demand(double fast, double slow, long at) {
        /** Returns the demand that decides whether replicas are added. */
        public double rising() {
            return fast;
        }

        /** Returns the demand that must be low before replicas are removed. */
        public double falling() {
            return Math.max(fast, slow);
        }
    }

    /**
     * Records a sample of one model.
     *
     * @param model model identifier
     * @param requests running and waiting requests over all hosts
     * @param now monotonic time in milliseconds
     */
    public void observe(String model, double requests, long now) {
        Demand old = demands.get(model);
        if (old == null) {
            demands.put(model, new Demand(requests, requests, now));
        } else {
            long elapsed = Math.max(0, now - old.at());
            demands.put(
                    model,
                    new Demand(
                            decayedMean(old.fast(), requests, elapsed, FAST_HALF_LIFE_MILLIS),
                            decayedMean(old.slow(), requests, elapsed, SLOW_HALF_LIFE_MILLIS),
                            now));
        }
    }

    /** Returns the demand for each observed model. */
    public Map<String, Demand> demands() {
        return Collections.unmodifiableMap(demands);
    }

    /** Removes all models except the given ones, which are still configured. */
    public void retain(Set<String> models) {
        demands.keySet().retainAll(models);
    }

    private static double decayedMean(double old, double sample, long elapsed, long halfLife) {
        double oldWeight = Math.pow(0.5, (double) elapsed / halfLife);
        return oldWeight * old + (1 - oldWeight) * sample;
    }
}
