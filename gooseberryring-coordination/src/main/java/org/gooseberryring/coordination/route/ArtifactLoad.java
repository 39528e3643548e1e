package org.gooseberryring.coordination.route;

import org.gooseberryring.state.Artifact;

/**
 * Residence of an artifact in another failure domain.
 *
 * @param artifact artifact that is loaded there
 * @param replicas endpoints that hold it
 * @param freeConcurrency requests that these can take now
 */
public record ArtifactLoad(Artifact artifact, int replicas, int freeConcurrency) {}
