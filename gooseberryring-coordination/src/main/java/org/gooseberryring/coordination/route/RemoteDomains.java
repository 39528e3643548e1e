package org.gooseberryring.coordination.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.state.Artifact;

/** Where artifacts are resident in other failure domains, as their summaries say. */
final class RemoteDomains {
    private record Summary(long sequence, long receivedAt, Map<Artifact, ArtifactLoad> loads) {}

    /** A summary this old says nothing about a failure domain that may be cut off. */
    private static final long SUMMARY_LIFETIME_MILLIS = 15_000;

    private final Map<String, Summary> summaries = new TreeMap<>();
    private final Map<String, RouteChoice> choices = new HashMap<>();
    private Set<String> inService = Set.of();

    void configured(Set<String> domainsIn) {
        inService = domainsIn;
        summaries.keySet().removeIf(domain -> !domainsIn.contains(domain));
    }

    void summary(String domain, long sequence, List<ArtifactLoad> loads, long now) {
        Summary known = summaries.get(domain);
        if (!inService.contains(domain) || known != null && known.sequence() >= sequence) {
            return;
        }
        Map<Artifact, ArtifactLoad> byArtifact = new HashMap<>();
        loads.forEach(load -> byArtifact.put(load.artifact(), load));
        summaries.put(domain, new Summary(sequence, now, byArtifact));
        choices.computeIfAbsent(domain, id -> new RouteChoice(RouteChoice.Kind.RELAY, id));
    }

    /** Returns a failure domain that holds the artifact, more often one with more room, or null. */
    RouteChoice choose(Artifact artifact, Random random, long now) {
        String best = null;
        long bestFree = -1;
        for (Map.Entry<String, Summary> entry : summaries.entrySet()) {
            ArtifactLoad load = entry.getValue().loads().get(artifact);
            boolean fresh = now - entry.getValue().receivedAt() <= SUMMARY_LIFETIME_MILLIS;
            if (load == null || load.replicas() <= 0 || !fresh) {
                continue;
            }
            long weighted = load.freeConcurrency() <= 0 ? 0 : 1 + random.nextInt(load.freeConcurrency());
            if (weighted > bestFree) {
                best = entry.getKey();
                bestFree = weighted;
            }
        }
        return best == null ? null : choices.get(best);
    }
}
