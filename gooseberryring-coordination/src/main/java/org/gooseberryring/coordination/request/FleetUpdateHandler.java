package org.gooseberryring.coordination.request;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.gooseberryring.coordination.route.ArtifactLoad;
import org.gooseberryring.coordination.route.Router;
import org.gooseberryring.state.Artifact;
import org.gooseberryring.state.FleetConfiguration;

/**
 * Applies updates of the fleet to the router of a failure domain and returns the resulting actions of the engine.
 *
 * <p>All methods are called on the thread of the engine and return the actions to take, in order.
 */
public final class FleetUpdateHandler {
    private final RequestEngine engine;
    private final Router router;
    private final RequestQueue queue;

    /** Creates a handler for an engine that uses the given router and queue. */
    public FleetUpdateHandler(RequestEngine engine, Router router, RequestQueue queue) {
        this.engine = engine;
        this.router = router;
        this.queue = queue;
    }

    /** Handles a configuration that took effect. */
    public List<RequestEffect> configured(FleetConfiguration configuration, long now) {
        router.configured(configuration, now);
        queue.configured(configuration);
        return engine.changed(now);
    }

    /** Handles a load report of an endpoint; see {@link Router#onLoadReport}. */
    public List<RequestEffect> onLoadReport(
            String endpoint,
            long incarnation,
            int running,
            int waiting,
            int capacity,
            Collection<Artifact> loadedArtifacts,
            long ageMillis,
            long now) {
        Set<Artifact> loaded = new HashSet<>(loadedArtifacts);
        router.onLoadReport(endpoint, incarnation, running, waiting, capacity, loaded, ageMillis, now);
        return engine.changed(now);
    }

    /** Handles a summary of another failure domain. */
    public List<RequestEffect> domainSummary(
            String failureDomain, long sequence, List<ArtifactLoad> artifacts, long now) {
        router.domainSummary(failureDomain, sequence, artifacts, now);
        return engine.changed(now);
    }

    /** Handles the arrival of credits of an endpoint. */
    public List<RequestEffect> creditsArrived(String endpoint, long now) {
        router.creditsArrived(endpoint, now);
        return engine.changed(now);
    }
}
