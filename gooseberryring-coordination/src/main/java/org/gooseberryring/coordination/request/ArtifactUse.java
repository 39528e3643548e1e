package org.gooseberryring.coordination.request;

/**
 * Demand of the callers of a host for a model or adapter.
 *
 * @param tokensPerSecond requested tokens per second
 * @param inFlight requests in flight at endpoints
 */
public record ArtifactUse(double tokensPerSecond, int inFlight) {}
