package org.gooseberryring.ctl.replay;

/**
 * Key and limits of an organisation in a replay.
 *
 * @param key key sent with its requests
 * @param rateTokensPerSecond token rate of the organisation, in tokens per second
 * @param burstTokens capacity of its token bucket, in tokens
 */
public record OrganisationAccess(String key, long rateTokensPerSecond, long burstTokens) {}
