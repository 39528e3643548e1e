package org.gooseberryring.coordination.order;

import org.gooseberryring.state.Artifact;

/**
 * Order to a model engine.
 *
 * @param id identifier
 * @param action kind of order
 * @param artifact artifact to load or unload
 * @param bytes accelerator memory that the artifact uses, in bytes
 */
public record Order(OrderId id, Action action, Artifact artifact, long bytes) {
    /** Kind of order. */
    public enum Action {
        /** Loads an artifact from the weight store. */
        LOAD,
        /** Unloads an artifact. */
        UNLOAD
    }
}
