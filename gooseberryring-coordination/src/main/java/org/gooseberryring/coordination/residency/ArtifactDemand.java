package org.gooseberryring.coordination.residency;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.gooseberryring.coordination.request.ArtifactUse;
import org.gooseberryring.coordination.request.RequestTarget;

/**
 * Demand for models and adapters over all hosts.
 *
 * <p>Sums over the hosts are kept up to date with each report, since a placement asks for many of them.
 */
final class ArtifactDemand {
    /** The demand of a host that has sent no report for this long is ignored. */
    private static final long HOST_TIMEOUT_MILLIS = 5_000;

    /** Parts of a token per second in which sums are kept, so that additions and subtractions are exact. */
    private static final double UNITS_PER_TOKEN = 1_000;

    /** Latest report of each host that is not ignored, in the order of their times. */
    private final Map<String, HostDemand> hosts = new LinkedHashMap<>();

    private final Map<RequestTarget.RoutedTarget, Long> modelSums = new HashMap<>();
    private final Map<RequestTarget.RoutedTarget, Long> inFlightSums = new HashMap<>();
    private final Map<RequestTarget.RoutedTarget, Long> lastUsedAt = new HashMap<>();

    private record HostDemand(Map<RequestTarget.RoutedTarget, ArtifactUse> uses, long reportedAt) {}

    /** Stores the demand that a host reports for its callers. */
    void onHostDemand(String host, Map<RequestTarget.RoutedTarget, ArtifactUse> uses, long now) {
        HostDemand old = hosts.remove(host);
        if (old != null) {
            subtract(old);
        }
        HostDemand latest = new HostDemand(Map.copyOf(uses), now);
        hosts.put(host, latest);
        latest.uses().forEach((target, use) -> {
            add(target, use, 1);
            ArtifactUse before = old == null ? null : old.uses().get(target);
            // The rate of an artifact that is no longer requested only decreases.
            if (before == null || use.tokensPerSecond() > before.tokensPerSecond()) {
                recordUse(target, now);
            }
        });
    }

    /** Records that a request needs a model or adapter. */
    void recordUse(RequestTarget.RoutedTarget target, long now) {
        lastUsedAt.put(target, now);
        lastUsedAt.put(target.withoutAdapter(), now);
    }

    /** Returns milliseconds since a model or adapter was last requested, {@code Long.MAX_VALUE} if it never was. */
    long idleMillis(RequestTarget.RoutedTarget target, long now) {
        Long lastUse = lastUsedAt.get(target);
        return lastUse == null ? Long.MAX_VALUE : now - lastUse;
    }

    /** Returns whether any host has requests in flight for a model or adapter. */
    boolean isInUse(RequestTarget.RoutedTarget target, long now) {
        removeSilentHosts(now);
        return inFlightSums.getOrDefault(target, 0L) > 0;
    }

    /** Returns the demand for a model and all its adapters in tokens per second. */
    double modelDemand(String service, String model, long now) {
        removeSilentHosts(now);
        RequestTarget.RoutedTarget target = new RequestTarget.RoutedTarget(service, model, null);
        return modelSums.getOrDefault(target, 0L) / UNITS_PER_TOKEN;
    }

    private void removeSilentHosts(long now) {
        Iterator<HostDemand> each = hosts.values().iterator();
        while (each.hasNext()) {
            HostDemand oldest = each.next();
            if (now - oldest.reportedAt() <= HOST_TIMEOUT_MILLIS) {
                return;
            }
            each.remove();
            subtract(oldest);
        }
    }

    private void subtract(HostDemand report) {
        report.uses().forEach((target, use) -> add(target, use, -1));
    }

    private void add(RequestTarget.RoutedTarget target, ArtifactUse use, int sign) {
        if (target.model() == null) {
            return;
        }
        long units = sign * Math.round(use.tokensPerSecond() * UNITS_PER_TOKEN);
        add(modelSums, target.withoutAdapter(), units);
        add(inFlightSums, target, sign * use.inFlight());
    }

    /** Changes a sum; one that becomes zero is removed. */
    private static void add(Map<RequestTarget.RoutedTarget, Long> sums, RequestTarget.RoutedTarget target, long units) {
        if (units != 0) {
            sums.merge(target, units, (sum, change) -> sum + change == 0 ? null : sum + change);
        }
    }
}
