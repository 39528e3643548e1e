package org.gooseberryring.coordination.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.gooseberryring.state.Artifact;

/** Artifacts loaded in other failure domains, according to their summaries. */
final class RemoteDomains {
    private record Summary(long sequence, long receivedAt, Map<Artifact, ArtifactLoad> loads) {}

    /** Maximum age of a summary; the failure domain may be disconnected after that. */
    private static final long MAX_SUMMARY_AGE_MILLIS = 15_000;

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

    /** Returns a random failure domain that has the artifact loaded, weighted by free capacity, or null. */
    RouteChoice choose(Artifact artifact, Random random, long now) {
        String best = null;
        long bestFree = -1;
        for (Map.Entry<String, Summary> entry : summaries.entrySet()) {
            ArtifactLoad load = entry.getValue().loads().get(artifact);
            boolean fresh = now - entry.getValue().receivedAt() <= MAX_SUMMARY_AGE_MILLIS;
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
