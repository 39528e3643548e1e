package org.gooseberryring.coordination.residency;

/**
 * Order to an endpoint to load or unload a model or adapter.
 *
 * @param endpoint endpoint that receives the order
 * @param action whether to load or unload
 * @param model model to load or unload, or the model of the adapter
 * @param adapter adapter of the model, null for the model itself
 * @param expectedSequence number of orders that the endpoint must have accepted before; it rejects the order otherwise
 * @param term fencing number of the controller
 */
public record ArtifactOrder(
        String endpoint, Action action, String model, String adapter, long expectedSequence, long term) {
    /** Action of an order. */
    public enum Action {
        LOAD,
        UNLOAD
    }
}
