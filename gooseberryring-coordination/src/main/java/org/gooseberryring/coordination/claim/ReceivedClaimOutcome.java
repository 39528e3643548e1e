package org.gooseberryring.coordination.claim;

/**
 * Outcome of a claimed request as received by the owner of its shard.
 *
 * @param host host that reported the outcome
 * @param incarnation incarnation of that host
 * @param outcome the outcome
 */
record ReceivedClaimOutcome(String host, long incarnation, ClaimMessage.Outcome outcome) {}
