package org.gooseberryring.state;

import java.util.List;

/**
 * Model with its versions and adapters.
 *
 * @param id identifier, unique in the configuration
 * @param bytes accelerator memory used by one loaded version, in bytes
 * @param versions versions that may be loaded
 * @param inForce current version, which serves requests without a pinned version
 * @param adapters adapters that can be loaded on top of the model
 * @param idempotent whether a request to the model may be sent again after it may have run
 */
public record Model(
        String id, long bytes, List<String> versions, String inForce, List<Adapter> adapters, boolean idempotent) {
    public Model {
        versions = versions == null ? List.of() : List.copyOf(versions);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }
}
