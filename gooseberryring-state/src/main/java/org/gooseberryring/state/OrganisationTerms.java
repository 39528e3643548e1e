package org.gooseberryring.state;

import java.util.OptionalInt;

/**
 * Terms of an organisation in a deployment.
 *
 * @param organisation organisation with its rate and burst in tokens; a rate of 0 means no limit
 * @param rank priority rank of its requests, which overrides the rank of the route; empty to use the rank of the route
 * @param plainRequestTokens tokens charged for a request without a stated size
 */
public record OrganisationTerms(Organisation organisation, OptionalInt rank, long plainRequestTokens) {}
