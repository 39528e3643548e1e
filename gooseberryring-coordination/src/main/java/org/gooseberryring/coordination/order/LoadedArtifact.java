package org.gooseberryring.coordination.order;

import org.gooseberryring.state.Artifact;

/**
 * Artifact that an endpoint has loaded.
 *
 * @param artifact artifact
 * @param bytes accelerator memory that the artifact uses, in bytes
 */
public record LoadedArtifact(Artifact artifact, long bytes) {}
