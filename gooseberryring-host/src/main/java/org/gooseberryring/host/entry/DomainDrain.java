package org.gooseberryring.host.entry;

/**
 * Request of the operators to drain a failure domain, so that it gets no new work.
 *
 * @param failureDomain failure domain to drain
 */
public record DomainDrain(String failureDomain) {}
