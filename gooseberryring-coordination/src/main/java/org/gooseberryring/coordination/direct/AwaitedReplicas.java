package org.gooseberryring.coordination.direct;

import java.util.HashMap;
import java.util.Map;

import org.gooseberryring.coordination.request.RequestedArtifact;

/** Replicas of models whose endpoints are too limited for the requests for them, while controllers load them. */
final class AwaitedReplicas {
    /** Multiple of the duration of a load after which a replica is no longer expected; there may be no memory for it. */
    private static final int MAX_LOADS = 2;

    /** If no request needs a replica for this time, the next one begins to wait for it anew. */
    private static final long RESET_AFTER_MILLIS = 10_000;

    private final Map<RequestedArtifact, Awaited> models = new HashMap<>();

    private record Awaited(long since, long lastRequestedAt) {}

    /**
     * Returns whether a replica that a request needs can be expected by a time.
     *
     * @param loadMillis duration of a load of the model
     */
    boolean isExpectedBy(RequestedArtifact model, long loadMillis, long time, long now) {
        Awaited known = models.get(model);
        boolean isFirst = known == null || now - known.lastRequestedAt() > RESET_AFTER_MILLIS;
        long since = isFirst ? now : known.since();
        models.put(model, new Awaited(since, now));
        return now - since < MAX_LOADS * loadMillis && Math.max(now, since + loadMillis) <= time;
    }

    boolean isEmpty() {
        return models.isEmpty();
    }

    /** Handles that an endpoint without a limit has loaded a model. */
    void onLoaded(RequestedArtifact model) {
        models.remove(model);
    }
}
