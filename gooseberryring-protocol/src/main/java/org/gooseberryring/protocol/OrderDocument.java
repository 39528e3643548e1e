package org.gooseberryring.protocol;

import org.gooseberryring.state.Artifact;

/**
 * Order to a model engine, as accepted by {@code POST /v1/orders}.
 *
 * @param orderId identifier, {@code term-sequence}
 * @param term fencing number of the controller
 * @param sequence number of the order within its term
 * @param action kind of the order
 * @param artifact artifact to load or unload, or null
 * @param bytes accelerator memory required by the artifact, in bytes
 * @param role role to change to, or null
 */
public record OrderDocument(
        String orderId, long term, long sequence, Action action, Artifact artifact, long bytes, String role) {
    /** Kind of order. */
    public enum Action {
        /** Loads an artifact from the weight store. */
        LOAD,
        /** Unloads an artifact. */
        UNLOAD,
        /** Changes the role of the engine. */
        SET_ROLE
    }
}
