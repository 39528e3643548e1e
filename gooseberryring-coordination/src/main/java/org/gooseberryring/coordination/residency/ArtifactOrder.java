package org.gooseberryring.coordination.residency;

/**
 * Order to an endpoint to load or unload a model or adapter.
 *
 * @param endpoint endpoint that is ordered
 * @param action what it does
 * @param model model
 * @param adapter adapter of the model, null for the model itself
 * @param expectedSequence orders that the endpoint must have accepted before; another number makes it refuse
 * @param term fencing number of the controller
 */
public record ArtifactOrder(
        String endpoint, Action action, String model, String adapter, long expectedSequence, long term) {
    /** What an order does. */
    public enum Action {
        LOAD,
        UNLOAD
    }
}
