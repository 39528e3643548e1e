package org.gooseberryring.coordination.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.gooseberryring.state.Organisation;

/**
 * Token limits that the hosts share in proportion to what is asked of each.
 *
 * <p>Every host tells the others what its callers ask for. A host fills its buckets at its part of the rate, up to its
 * part of the burst. While a host is not heard of, the part that it had is left to it for a time, so that hosts that are
 * cut off from each other stay within the limit together.
 */
public final class SharedLimits implements TokenAdmission {
    /** Organisation without a rate is not limited. */
    private static final long UNLIMITED = 0;

    /** A host that is silent for this long is taken for gone. */
    private static final long SILENT_MILLIS = 10_000;

    private final Map<String, SharedBucket> buckets = new HashMap<>();
    private final Map<String, Reservation> reservations = new HashMap<>();
    private final Map<String, HostDemand> others = new HashMap<>();

    private record Reservation(String organisation, long tokens) {}

    private record HostDemand(Map<String, Double> tokensPerSecond, long heardAt) {}

    /** Takes over the organisations of a configuration. */
    public void configured(Collection<Organisation> organisations, long now) {
        Map<String, Organisation> limited = new HashMap<>();
        for (Organisation organisation : organisations) {
            if (organisation.rateTokensPerSecond() > UNLIMITED) {
                limited.put(organisation.id(), organisation);
            }
        }
        buckets.keySet().retainAll(limited.keySet());
        limited.forEach((id, organisation) ->
                buckets.computeIfAbsent(id, key -> new SharedBucket(now)).configured(organisation, now));
    }

    /** Takes over what the callers of another host ask for, in tokens a second for each organisation. */
    public void demandOf(String host, Map<String, Double> tokensPerSecond, long now) {
        others.put(host, new HostDemand(Map.copyOf(tokensPerSecond), now));
    }

    /** Returns what the callers of this host ask for, in tokens a second for each organisation. */
    public Map<String, Double> demands(long now) {
        Map<String, Double> demands = new HashMap<>();
        buckets.forEach((id, bucket) -> demands.put(id, bucket.demand(now)));
        return demands;
    }

    /** Computes the parts of this host anew; called several times a second. */
    public void tick(long now) {
        others.values().removeIf(demand -> now - demand.heardAt() > SILENT_MILLIS);
        buckets.forEach((id, bucket) -> {
            double sum = 0;
            for (HostDemand other : others.values()) {
                sum += other.tokensPerSecond().getOrDefault(id, 0.0);
            }
            bucket.share(sum, others.size() + 1, now);
        });
    }

    @Override
    public Admission reserve(String requestId, String organisation, long tokens, long now) {
        SharedBucket bucket = buckets.get(organisation);
        if (bucket == null) {
            return Admission.admitted();
        }
        if (!bucket.take(tokens, now)) {
            return Admission.refused(bucket.millisToNext(now));
        }
        reservations.put(requestId, new Reservation(organisation, tokens));
        return Admission.admitted();
    }

    @Override
    public void settle(String requestId, long usedTokens, long now) {
        Reservation reservation = reservations.remove(requestId);
        SharedBucket bucket = reservation == null ? null : buckets.get(reservation.organisation());
        if (bucket != null && usedTokens < reservation.tokens()) {
            bucket.giveBack(reservation.tokens() - usedTokens, now);
        }
    }
}
