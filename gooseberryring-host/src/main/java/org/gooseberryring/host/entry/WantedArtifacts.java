package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.request.RequestedArtifact;
import org.gooseberryring.state.ResidentModel;

/**
 * Records which other hosts wait for which models and adapters, so that they can be notified at once when an endpoint has
 * loaded them.
 *
 * <p>Not thread-safe; used on the control thread only.
 */
final class WantedArtifacts {
    /** Time for which a request is kept; a host that still waits for the artifact repeats its request well within it. */
    private static final long RETENTION_MILLIS = 6_000;

    private final Map<RequestTarget.RoutedTarget, Map<String, Long>> requestedAt = new HashMap<>();

    /** Records that a host requests artifacts. */
    void recordRequest(String host, List<RequestedArtifact> artifacts, long now) {
        artifacts.forEach(artifact -> requestedAt
                .computeIfAbsent(artifact.target(), key -> new HashMap<>())
                .put(host, now));
    }

    /** Returns the hosts that recently requested one of the models or their adapters. */
    Set<String> waitingFor(List<ResidentModel> models, long now) {
        requestedAt.values().forEach(hosts -> hosts.values().removeIf(at -> now - at > RETENTION_MILLIS));
        requestedAt.values().removeIf(Map::isEmpty);
        Set<String> waiting = new TreeSet<>();
        requestedAt.forEach((target, hosts) -> {
            if (models.stream().anyMatch(model -> matches(model, target))) {
                waiting.addAll(hosts.keySet());
            }
        });
        return waiting;
    }

    private static boolean matches(ResidentModel model, RequestTarget.RoutedTarget target) {
        boolean sameModel = model.model().equals(target.model());
        return sameModel && (target.adapter() == null || model.adapters().contains(target.adapter()));
    }
}
