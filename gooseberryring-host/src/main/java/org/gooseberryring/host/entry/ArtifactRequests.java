package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.coordination.residency.ResidencyController;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Requests models and adapters that requests of this host wait for from the controllers of failure domains.
 *
 * <p>Not thread-safe; used on the control thread only.
 */
final class ArtifactRequests {
    private static final Logger LOG = Logger.getLogger(ArtifactRequests.class);

    /** Minimum interval between two requests for the same artifact. */
    private static final long REQUEST_INTERVAL_MILLIS = 100;

    /** Time after which the next controller is tried if the current one has not provided the adapter. */
    private static final long PROVIDER_TIMEOUT_MILLIS = 250;

    /** An artifact that was not requested within this time counts as newly missing when it is requested again. */
    private static final long RETENTION_MILLIS = 1_000;

    private final ResidencyController controller;
    private final Controllers controllers;
    private final BiConsumer<String, List<RequestedArtifact>> sender;
    private final Map<RequestedArtifact, RequestTimes> requestTimes = new HashMap<>();

    private record RequestTimes(long firstAt, long lastAt) {
        long round() {
            return (lastAt - firstAt) / PROVIDER_TIMEOUT_MILLIS;
        }
    }

    /** Creates an instance; {@code sender} sends a request to the controller on the given host. */
    ArtifactRequests(
            ResidencyController controller,
            Controllers controllers,
            BiConsumer<String, List<RequestedArtifact>> sender) {
        this.controller = controller;
        this.controllers = controllers;
        this.sender = sender;
    }

    /** Removes artifacts that have not been requested recently. */
    void tick(long now) {
        requestTimes.values().removeIf(times -> now - times.lastAt() > RETENTION_MILLIS);
    }

    /** Requests the artifacts, unless they were requested a moment ago. */
    void request(List<RequestedArtifact> artifacts, long now) {
        Map<String, List<RequestedArtifact>> byHost = new HashMap<>();
        for (RequestedArtifact artifact : artifacts) {
            RequestTimes previous = requestTimes.get(artifact);
            if (previous == null || now - previous.lastAt() >= REQUEST_INTERVAL_MILLIS) {
                RequestTimes times = new RequestTimes(previous == null ? now : previous.firstAt(), now);
                requestTimes.put(artifact, times);
                boolean newRound = previous == null || times.round() != previous.round();
                for (String host : providers(artifact, times, newRound, now)) {
                    byHost.computeIfAbsent(host, key -> new ArrayList<>()).add(artifact);
                }
            }
        }
        byHost.forEach(sender);
    }

    /** Returns the controllers to send the request to: all of them, or the one of the current round. */
    private List<String> providers(RequestedArtifact artifact, RequestTimes times, boolean newRound, long now) {
        ResidencyController.Providers providers = controller.providers(artifact);
        if (newRound) {
            LogLine.event("artifact-wanted")
                    .with("service", artifact.target().service())
                    .with("model", artifact.target().model())
                    .with("adapter", artifact.target().adapter())
                    .with("version", artifact.softwareVersion())
                    .with("providers", providers.domains())
                    .with("missedMs", times.lastAt() - times.firstAt())
                    .info(LOG);
        }
        List<String> reachable = controllers.alive(providers.domains(), now);
        if (providers.all() || reachable.isEmpty()) {
            return reachable;
        }
        return List.of(reachable.get((int) (times.round() % reachable.size())));
    }
}
