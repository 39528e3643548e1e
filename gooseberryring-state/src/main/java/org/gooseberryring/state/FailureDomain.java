package org.gooseberryring.state;

/**
 * Part of the fleet that can fail or be taken out of service as a unit.
 *
 * @param id identifier, unique in the configuration
 * @param region region in which the failure domain is located
 * @param in whether the failure domain accepts new work
 */
public record FailureDomain(String id, String region, boolean in) {}
