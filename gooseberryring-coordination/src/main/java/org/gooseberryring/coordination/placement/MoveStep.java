package org.gooseberryring.coordination.placement;

import org.gooseberryring.state.Artifact;

/**
 * Step of a move plan.
 *
 * @param kind whether the artifact is loaded or unloaded
 * @param endpoint endpoint that loads or unloads
 * @param artifact artifact to load or unload
 * @param startMillis expected start, in milliseconds after the start of the plan
 * @param endMillis expected end, in milliseconds after the start of the plan
 */
public record MoveStep(Kind kind, String endpoint, Artifact artifact, long startMillis, long endMillis) {
    /** Kind of step. */
    public enum Kind {
        /** Loads the artifact from the weight store. */
        LOAD,
        /** Unloads the artifact. */
        UNLOAD
    }
}
