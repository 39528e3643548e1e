package org.gooseberryring.coordination.limit;

/** Message about token batches between two hosts; each record matches one peer message field by field. */
public sealed interface TokenMessage {
    /** Returns the organisation whose tokens the message is about. */
    String organisation();

    /**
     * Asks a keeper for tokens.
     *
     * @param requestId identifier, unique over all hosts and incarnations
     * @param organisation organisation that pays
     * @param tokens tokens wanted
     * @param lend true for a keeper that borrows from another keeper
     */
    record Request(String requestId, String organisation, long tokens, boolean lend) implements TokenMessage {}

    /**
     * Hands over a batch of tokens that may be spent once.
     *
     * @param requestId request that this answers
     * @param organisation organisation that pays
     * @param tokens tokens of the batch, possibly fewer than were asked for
     * @param lifetimeMillis milliseconds for which the batch may be spent, from the time the request was sent
     * @param retryAfterMillis milliseconds until this keeper's rate makes up for the missing tokens, 0 if nothing is
     *     missing or the keeper cannot tell
     * @param batchId identifier of the batch, unique over all keepers and incarnations, empty if there are no tokens
     */
    record Grant(
            String requestId,
            String organisation,
            long tokens,
            long lifetimeMillis,
            long retryAfterMillis,
            String batchId)
            implements TokenMessage {}

    /**
     * Closes a batch and gives back tokens. The first return of a batch states that nothing more of it will be
     * reserved. The number of tokens is the total given back so far, so that a repeated or late message changes nothing
     * and a later one makes up for a lost one.
     *
     * @param organisation organisation that pays
     * @param batchId identifier of the batch
     * @param tokens total tokens of the batch that were not used, as far as known
     */
    record Return(String organisation, String batchId, long tokens) implements TokenMessage {}
}
