package org.gooseberryring.host.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.gooseberryring.coordination.request.RequestTarget;
import org.gooseberryring.coordination.residency.ResidencyController;
import org.gooseberryring.host.log.LogLine;
import org.jboss.logging.Logger;

/**
 * Asks the controllers of failure domains for models and adapters that requests of this host wait for.
 *
 * <p>Belongs to the control thread.
 */
final class ArtifactRequests {
    private static final Logger LOG = Logger.getLogger(ArtifactRequests.class);

    /** Waiting requests ask for what they lack at most this often. */
    private static final long WANTED_MILLIS = 100;

    /** A controller that has not provided an adapter in this time is passed over for the next one. */
    private static final long NEXT_PROVIDER_MILLIS = 250;

    /** An artifact that was not asked for in this time is taken to be missed anew. */
    private static final long FORGET_MILLIS = 1_000;

    private final ResidencyController controller;
    private final Controllers controllers;
    private final BiConsumer<String, List<RequestTarget.RoutedTarget>> asker;
    private final Map<RequestTarget.RoutedTarget, Asked> asked = new HashMap<>();

    private record Asked(long firstAt, long lastAt) {
        long turn() {
            return (lastAt - firstAt) / NEXT_PROVIDER_MILLIS;
        }
    }

    /** Creates it; {@code asker} asks the controller at the given host. */
    ArtifactRequests(
            ResidencyController controller,
            Controllers controllers,
            BiConsumer<String, List<RequestTarget.RoutedTarget>> asker) {
        this.controller = controller;
        this.controllers = controllers;
        this.asker = asker;
    }

    /** Lets time pass. */
    void tick(long now) {
        asked.values().removeIf(times -> now - times.lastAt() > FORGET_MILLIS);
    }

    /** Asks for artifacts that requests wait for. */
    void wanted(List<RequestTarget.RoutedTarget> targets, long now) {
        Map<String, List<RequestTarget.RoutedTarget>> byHost = new HashMap<>();
        for (RequestTarget.RoutedTarget target : targets) {
            Asked before = asked.get(target);
            if (before == null || now - before.lastAt() >= WANTED_MILLIS) {
                Asked times = new Asked(before == null ? now : before.firstAt(), now);
                asked.put(target, times);
                boolean newTurn = before == null || times.turn() != before.turn();
                for (String host : providers(target, times, newTurn, now)) {
                    byHost.computeIfAbsent(host, key -> new ArrayList<>()).add(target);
                }
            }
        }
        byHost.forEach(asker);
    }

    /** Returns the hosts that control the failure domains to ask, all of them or the one whose turn it is. */
    private List<String> providers(RequestTarget.RoutedTarget target, Asked times, boolean newTurn, long now) {
        ResidencyController.Providers providers = controller.providers(target);
        if (newTurn) {
            LogLine.event("artifact-wanted")
                    .with("service", target.service())
                    .with("model", target.model())
                    .with("adapter", target.adapter())
                    .with("providers", providers.domains())
                    .with("missedMs", times.lastAt() - times.firstAt())
                    .info(LOG);
        }
        List<String> reachable = controllers.of(providers.domains(), now);
        if (providers.all() || reachable.isEmpty()) {
            return reachable;
        }
        return List.of(reachable.get((int) (times.turn() % reachable.size())));
    }
}
