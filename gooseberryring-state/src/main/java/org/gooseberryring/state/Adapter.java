package org.gooseberryring.state;

/**
 * Adapter that is loaded on top of a model.
 *
 * @param id identifier, unique within its model
 * @param bytes accelerator memory used by the loaded adapter, in bytes
 * @param version current version
 */
public record Adapter(String id, long bytes, String version) {}
