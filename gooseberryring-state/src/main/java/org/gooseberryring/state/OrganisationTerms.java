package org.gooseberryring.state;

import java.util.OptionalInt;

/**
 * What an installation grants an organisation.
 *
 * @param organisation organisation with its rate and burst in tokens, a rate of 0 for no limit
 * @param rank urgency of its requests, which replaces that of the route, if there is one
 * @param plainRequestTokens tokens that a request without a stated size counts
 */
public record OrganisationTerms(Organisation organisation, OptionalInt rank, long plainRequestTokens) {}
