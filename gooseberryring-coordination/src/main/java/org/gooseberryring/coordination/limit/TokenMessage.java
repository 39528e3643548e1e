package org.gooseberryring.coordination.limit;

/** Message about token batches between two hosts; each record matches one peer message field by field. */
public sealed interface TokenMessage {
    /** Returns the organisation whose tokens the message concerns. */
    String organisation();

    /**
     * Requests tokens from a keeper.
     *
     * @param requestId identifier, unique over all hosts and incarnations
     * @param organisation organisation that pays
     * @param tokens requested tokens
     * @param lend whether a keeper borrows from another keeper
     */
    record Request(String requestId, String organisation, long tokens, boolean lend) implements TokenMessage {}

    /**
     * Grants a batch of tokens that may be spent once.
     *
     * @param requestId request to which this is the reply
     * @param organisation organisation that pays
     * @param tokens tokens of the batch, possibly fewer than requested
     * @param lifetimeMillis milliseconds for which the batch may be spent, counted from the time at which the request
     *     was sent
     * @param retryAfterMillis milliseconds until this keeper's rate has refilled the missing tokens, 0 if none are
     *     missing or the keeper cannot predict it
     * @param batchId identifier of the batch, unique over all keepers and incarnations, empty if no tokens are granted
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
     * Closes a batch and returns unused tokens. After the first return of a batch, no more of its tokens will be
     * reserved. The number of tokens is the total returned so far. A repeated or reordered message therefore has no
     * effect, and a later message compensates for a lost one.
     *
     * @param organisation organisation that pays
     * @param batchId identifier of the batch
     * @param tokens total unused tokens of the batch that are known so far
     */
    record Return(String organisation, String batchId, long tokens) implements TokenMessage {}
}
