package org.gooseberryring.coordination.placement;

import org.gooseberryring.state.Artifact;

/**
 * Step of a move plan.
 *
 * @param kind what is done
 * @param endpoint endpoint that does it
 * @param artifact artifact that is loaded or unloaded
 * @param startMillis expected start after the beginning of the plan, in milliseconds
 * @param endMillis expected end after the beginning of the plan, in milliseconds
 */
public record MoveStep(Kind kind, String endpoint, Artifact artifact, long startMillis, long endMillis) {
    /** Kind of step. */
    public enum Kind {
        /** The artifact is loaded from the weight store. */
        LOAD,
        /** The artifact is unloaded. */
        UNLOAD
    }
}
