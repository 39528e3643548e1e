package org.gooseberryring.state;

/**
 * Adapter that is loaded on top of a model.
 *
 * @param id identifier, unique within its model
 * @param bytes accelerator memory of the loaded adapter, in bytes
 * @param version version in force
 */
public record Adapter(String id, long bytes, String version) {}
