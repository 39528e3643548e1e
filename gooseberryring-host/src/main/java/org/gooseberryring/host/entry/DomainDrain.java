package org.gooseberryring.host.entry;

/**
 * Wish of the operators that a failure domain gets no new work.
 *
 * @param failureDomain failure domain
 */
public record DomainDrain(String failureDomain) {}
