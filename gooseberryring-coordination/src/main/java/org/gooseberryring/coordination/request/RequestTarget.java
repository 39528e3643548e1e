package org.gooseberryring.coordination.request;

import org.gooseberryring.state.Artifact;

/** Model or service that a request addresses. */
public sealed interface RequestTarget {
    /**
     * Model or adapter in a version.
     *
     * @param artifact model, or adapter on top of it
     */
    record ModelTarget(Artifact artifact) implements RequestTarget {}

    /**
     * Plain service.
     *
     * @param service identifier of the service
     */
    record ServiceTarget(String service) implements RequestTarget {}

    /**
     * Service of a deployment, or a model that its engines have loaded.
     *
     * @param service identifier of the service
     * @param model model, null for a plain service
     * @param adapter adapter of the model, null for the model itself
     */
    record RoutedTarget(String service, String model, String adapter) implements RequestTarget {
        /** Returns the model itself if this is an adapter, otherwise this target. */
        public RoutedTarget withoutAdapter() {
            return adapter == null ? this : new RoutedTarget(service, model, null);
        }

        /** Returns {@code service[/model[/adapter]]}. */
        @Override
        public String toString() {
            return service + (model == null ? "" : "/" + model) + (adapter == null ? "" : "/" + adapter);
        }
    }
}
