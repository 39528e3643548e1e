package org.gooseberryring.coordination.order;

import org.gooseberryring.state.Artifact;

/**
 * Artifact that an endpoint holds.
 *
 * @param artifact artifact
 * @param bytes accelerator memory that it takes, in bytes
 */
public record LoadedArtifact(Artifact artifact, long bytes) {}
