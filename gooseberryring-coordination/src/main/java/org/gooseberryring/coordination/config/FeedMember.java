package org.gooseberryring.coordination.config;

/**
 * Live host that takes part in the configuration feed.
 *
 * @param host host identifier
 * @param failureDomain failure domain of the host
 */
public record FeedMember(String host, String failureDomain) {}
