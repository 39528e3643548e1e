package org.gooseberryring.state;

/**
 * Part of the fleet that can fail or be taken out as a whole.
 *
 * @param id identifier, unique in the configuration
 * @param region region that the failure domain lies in
 * @param in whether the failure domain takes new work
 */
public record FailureDomain(String id, String region, boolean in) {}
