package org.gooseberryring.state;

import java.util.Set;

/**
 * Model that an endpoint has loaded.
 *
 * @param model identifier of the model
 * @param adapters adapters of the model that the endpoint has loaded
 */
public record ResidentModel(String model, Set<String> adapters) {
    public ResidentModel {
        adapters = Set.copyOf(adapters);
    }
}
