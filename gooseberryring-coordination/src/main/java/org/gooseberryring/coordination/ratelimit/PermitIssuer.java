package org.gooseberryring.coordination.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.gooseberryring.state.EndpointProcess;

/**
 * Issues the permits for the endpoints whose issuer this host is.
 *
 * <p>All hosts derive the issuer of an endpoint from the hosts that are alive, so that there is one at a time. A new
 * issuer does not know which permits the one before it issued, and begins without any.
 */
public final class PermitIssuer {
    /** Time after which a limit that no host has asked permits for is forgotten. */
    private static final long IDLE_MILLIS = 60_000;

    private final Map<EndpointProcess, PermitBucket> buckets = new HashMap<>();

    /** Grant for a host. */
    public record Issued(String host, PermitGrant grant) {}

    /** Returns whether any host has asked this one for permits lately. */
    public boolean isActive() {
        return !buckets.isEmpty();
    }

    /**
     * Handles a request of a host; returns the grants that follow, among them a response to this request.
     *
     * @param limit limit of the process that this host knows
     * @param share part of the limit that this host may issue, below 1 while hosts are out of sight that may ask
     *     another issuer, 0 if another host is the issuer
     */
    public List<Issued> onRequest(String host, PermitRequest request, RateLimit limit, double share, long now) {
        PermitBucket bucket = buckets.computeIfAbsent(request.process(), process -> new PermitBucket(process, now));
        bucket.setLimit(limit, share, now);
        return bucket.onRequest(host, request, now);
    }

    /**
     * Returns the grants of permits that have become available; called several times a second.
     *
     * @param share part of the limit of a process that this host may issue
     */
    public List<Issued> onTick(ToDoubleFunction<EndpointProcess> share, long now) {
        buckets.values().removeIf(bucket -> bucket.isIdle(IDLE_MILLIS, now));
        List<Issued> issued = new ArrayList<>();
        buckets.forEach((process, bucket) -> issued.addAll(bucket.onTick(share.applyAsDouble(process), now)));
        return issued;
    }

    /** Applies another limit of a process, or its end. */
    public void onLimitChanged(EndpointProcess process, RateLimit limit, double share, long now) {
        PermitBucket bucket = buckets.get(process);
        if (bucket != null && limit.isLimited()) {
            bucket.setLimit(limit, share, now);
        } else {
            buckets.remove(process);
        }
    }
}
