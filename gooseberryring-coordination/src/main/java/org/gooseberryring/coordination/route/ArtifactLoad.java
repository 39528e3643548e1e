package org.gooseberryring.coordination.route;

import org.gooseberryring.state.Artifact;

/**
 * Replicas of an artifact in another failure domain and their free capacity.
 *
 * @param artifact artifact that is loaded there
 * @param replicas endpoints that have it loaded
 * @param freeConcurrency further requests that these endpoints can accept now
 */
public record ArtifactLoad(Artifact artifact, int replicas, int freeConcurrency) {}
