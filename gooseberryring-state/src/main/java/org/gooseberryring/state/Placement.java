package org.gooseberryring.state;

/**
 * Decision that an endpoint holds an artifact.
 *
 * @param endpoint endpoint identifier
 * @param artifact artifact that the endpoint holds
 */
public record Placement(String endpoint, Artifact artifact) {}
