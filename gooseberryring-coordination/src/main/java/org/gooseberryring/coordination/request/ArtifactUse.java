package org.gooseberryring.coordination.request;

/**
 * What the callers of a host ask of a model or adapter.
 *
 * @param tokensPerSecond tokens that are asked for in a second
 * @param inFlight requests that were sent to endpoints and have not ended
 */
public record ArtifactUse(double tokensPerSecond, int inFlight) {}
