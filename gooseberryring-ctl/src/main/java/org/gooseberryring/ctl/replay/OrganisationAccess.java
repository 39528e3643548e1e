package org.gooseberryring.ctl.replay;

/**
 * Key and limits with which an organisation of a trace is replayed.
 *
 * @param key key sent with its requests
 * @param rateTokensPerSecond tokens a second that it may use
 * @param burstTokens tokens that it may use above the rate
 */
public record OrganisationAccess(String key, long rateTokensPerSecond, long burstTokens) {}
