package org.gooseberryring.host.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.state.ResidentModel;

/**
 * Which other hosts wait for which models and adapters, so that they are told at once when an endpoint holds them.
 *
 * <p>Belongs to the control thread.
 */
final class WantedArtifacts {
    /** A host that waits for an artifact asks again well within this time. */
    private static final long FORGET_MILLIS = 6_000;

    private final Map<RequestTarget.RoutedTarget, Map<String, Long>> askedAt = new HashMap<>();

    /** Notes that a host asks for artifacts. */
    void wanted(String host, List<RequestTarget.RoutedTarget> targets, long now) {
        targets.forEach(target ->
                askedAt.computeIfAbsent(target, key -> new HashMap<>()).put(host, now));
    }

    /** Returns the hosts that asked lately for something among what an endpoint holds. */
    Set<String> waitingFor(List<ResidentModel> models, long now) {
        askedAt.values().forEach(hosts -> hosts.values().removeIf(at -> now - at > FORGET_MILLIS));
        askedAt.values().removeIf(Map::isEmpty);
        Set<String> waiting = new TreeSet<>();
        askedAt.forEach((target, hosts) -> {
            if (models.stream().anyMatch(model -> holds(model, target))) {
                waiting.addAll(hosts.keySet());
            }
        });
        return waiting;
    }

    private static boolean holds(ResidentModel model, RequestTarget.RoutedTarget target) {
        boolean sameModel = model.model().equals(target.model());
        return sameModel && (target.adapter() == null || model.adapters().contains(target.adapter()));
    }
}
