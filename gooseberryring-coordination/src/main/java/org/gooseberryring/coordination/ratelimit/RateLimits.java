package org.gooseberryring.coordination.ratelimit;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberryring.state.EndpointProcess;

/**
 * Rate limits of the processes of endpoints, as far as this host knows them.
 *
 * <p>A limit belongs to a process. Another process of the endpoint, or one at the same address, begins without a limit.
 */
public final class RateLimits {
    /** Maximum number of processes that are kept; beyond it the oldest entry is evicted. */
    private static final int MAX_PROCESSES = 4_096;

    private final Map<EndpointProcess, RateLimit> limits = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<EndpointProcess, RateLimit> eldest) {
            return size() > MAX_PROCESSES;
        }
    };

    /** Returns the limit of a process. */
    public RateLimit limit(EndpointProcess process) {
        return limits.getOrDefault(process, RateLimit.NONE);
    }

    /** Records that a response states a limit; returns whether it differs from the known one. */
    public boolean onStated(EndpointProcess process, double requestsPerSecond) {
        RateLimit known = limit(process);
        if (known.requestsPerSecond() == requestsPerSecond) {
            return false;
        }
        limits.put(process, known.next(requestsPerSecond));
        return true;
    }

    /**
     * Records that a response states no limit; returns whether that ends the known limit.
     *
     * @param knownWhenSent limit that this host knew when it sent the request; if it has changed since, the response
     *     may be older than the limit
     */
    public boolean onNotStated(EndpointProcess process, RateLimit knownWhenSent) {
        RateLimit known = limit(process);
        if (!known.isLimited() || !known.equals(knownWhenSent)) {
            return false;
        }
        limits.put(process, known.next(Double.POSITIVE_INFINITY));
        return true;
    }

    /** Records a limit that another host knows; returns whether it supersedes the known one. */
    public boolean onReported(EndpointProcess process, RateLimit reported) {
        if (!reported.supersedes(limit(process))) {
            return false;
        }
        limits.put(process, reported);
        return true;
    }

    /** Removes the limit of a process that has ended. */
    public void remove(EndpointProcess process) {
        limits.remove(process);
    }

    /** Returns the number of processes with a limit. */
    public int limitedCount() {
        return (int) limits.values().stream().filter(RateLimit::isLimited).count();
    }
}
