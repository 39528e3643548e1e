package org.gooseberryring.coordination.config;

/**
 * Live host as the configuration feed sees it.
 *
 * @param host host identifier
 * @param failureDomain failure domain of the host
 */
public record FeedMember(String host, String failureDomain) {}
