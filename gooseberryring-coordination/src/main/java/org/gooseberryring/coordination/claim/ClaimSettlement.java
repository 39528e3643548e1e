package org.gooseberryring.coordination.claim;

/**
 * Outcome of a claimed request as its shard's owner received it.
 *
 * @param host host that reports it
 * @param incarnation incarnation of that host
 * @param outcome the outcome
 */
record ClaimSettlement(String host, long incarnation, ClaimMessage.Outcome outcome) {}
