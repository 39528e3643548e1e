package org.gooseberryring.state;

/**
 * Decision to load an artifact on an endpoint.
 *
 * @param endpoint endpoint identifier
 * @param artifact artifact to load on the endpoint
 */
public record Placement(String endpoint, Artifact artifact) {}
