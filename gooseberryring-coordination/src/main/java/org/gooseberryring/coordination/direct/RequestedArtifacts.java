package org.gooseberryring.coordination.direct;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.gooseberryring.coordination.request.RequestedArtifact;

/** Models and adapters that requests lack since they were last taken. */
final class RequestedArtifacts {
    /** Maximum number that is kept; more could not be loaded before the requests expire. */
    private static final int MAX_ARTIFACTS = 256;

    private final Set<RequestedArtifact> artifacts = new LinkedHashSet<>();

    void add(RequestedArtifact artifact) {
        if (artifacts.size() < MAX_ARTIFACTS) {
            artifacts.add(artifact);
        }
    }

    /** Returns and clears them. */
    List<RequestedArtifact> take() {
        List<RequestedArtifact> taken = List.copyOf(artifacts);
        artifacts.clear();
        return taken;
    }
}
