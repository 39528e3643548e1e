package org.gooseberryring.coordination.residency;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.gooseberryring.coordination.request.RequestedArtifact;

/** Models and adapters that requests wait for. */
final class AwaitedArtifacts {
    /** Maximum time that a request waits for an artifact. */
    private static final long MAX_WAIT_MILLIS = 3_000;

    /** Time without a request after which the wait for an artifact begins anew; rare models are requested seconds apart. */
    private static final long FORGET_MILLIS = 10_000;

    private final Map<RequestedArtifact, Requests> requests = new LinkedHashMap<>();

    private record Requests(long first, long last) {
        private boolean isWaiting(long now) {
            return now - last <= MAX_WAIT_MILLIS;
        }
    }

    /**
     * Artifact that a request waits for.
     *
     * @param since time of the first request since which it has been absent
     * @param urgency demand in tokens per second times milliseconds of wait
     */
    record Awaited(RequestedArtifact artifact, long since, double urgency) {}

    /** Records that requests wait for artifacts. */
    void onRequested(Collection<RequestedArtifact> artifacts, long now) {
        for (RequestedArtifact artifact : artifacts) {
            requests.merge(artifact, new Requests(now, now), (old, latest) -> new Requests(old.first(), now));
        }
    }

    /** Removes an artifact that is present or cannot be provided. */
    void remove(RequestedArtifact artifact) {
        requests.remove(artifact);
    }

    /** Forgets the artifacts that have not been requested for a long time. */
    void forgetOld(long now) {
        requests.values().removeIf(request -> now - request.last() > FORGET_MILLIS);
    }

    /** Returns whether a request waits for an artifact now. */
    boolean hasRequests(long now) {
        return requests.values().stream().anyMatch(request -> request.isWaiting(now));
    }

    /**
     * Returns the artifacts that requests wait for now, the one first whose demand times its wait is highest. By demand alone
     * rare models would never be loaded, by the wait alone frequent ones would wait behind them.
     *
     * @param demand demand for the model of an artifact in tokens per second
     */
    List<Awaited> byUrgency(ToDoubleFunction<RequestedArtifact> demand, long now) {
        forgetOld(now);
        List<Awaited> awaited = new ArrayList<>();
        requests.forEach((artifact, request) -> {
            if (request.isWaiting(now)) {
                // Demand is reported later than the first request.
                double urgency = (1 + demand.applyAsDouble(artifact)) * (1 + now - request.first());
                awaited.add(new Awaited(artifact, request.first(), urgency));
            }
        });
        awaited.sort(Comparator.comparingDouble(Awaited::urgency).reversed());
        return awaited;
    }
}
